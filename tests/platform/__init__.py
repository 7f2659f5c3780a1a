"""Tests of chutelink.platform."""
