"""Tests of chutelink.fleet."""
