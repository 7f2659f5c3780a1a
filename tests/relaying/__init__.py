"""Tests of chutelink.relaying."""
