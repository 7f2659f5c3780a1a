"""Tests of chutelink.quarantine."""
