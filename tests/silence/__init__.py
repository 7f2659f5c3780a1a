"""Tests for chutelink.silence."""
