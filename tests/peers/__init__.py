"""Tests of chutelink.peers."""
