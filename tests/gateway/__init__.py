"""Tests of chutelink.gateway."""
