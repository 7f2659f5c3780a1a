"""Tests of chutelink.watching."""
