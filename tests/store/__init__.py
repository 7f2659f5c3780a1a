"""Tests of chutelink.store."""
