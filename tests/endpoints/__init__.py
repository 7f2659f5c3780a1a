"""Tests of chutelink.endpoints."""
