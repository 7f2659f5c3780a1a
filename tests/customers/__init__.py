"""Tests for chutelink.customers."""
