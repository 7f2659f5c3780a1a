"""Tests of chutelink.customers."""
