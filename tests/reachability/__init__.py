"""Tests of chutelink.reachability."""
