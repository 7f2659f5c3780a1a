"""Tests for chutelink.presence."""
