"""Tests of chutelink.cli."""
