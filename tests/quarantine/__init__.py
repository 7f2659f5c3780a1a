"""Tests for chutelink.quarantine."""
