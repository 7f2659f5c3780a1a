"""Tests of chutelink.director."""
