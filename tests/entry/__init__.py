"""Tests of chutelink.entry."""
