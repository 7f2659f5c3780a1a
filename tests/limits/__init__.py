"""Tests for chutelink.limits."""
