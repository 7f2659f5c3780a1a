"""Tests of chutelink.systems."""
