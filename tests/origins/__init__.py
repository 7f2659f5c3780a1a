"""Tests of chutelink.limits."""
