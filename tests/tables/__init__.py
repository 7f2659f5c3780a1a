"""Tests of chutelink.tables."""
