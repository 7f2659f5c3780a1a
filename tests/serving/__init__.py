"""Tests of chutelink.serving."""
