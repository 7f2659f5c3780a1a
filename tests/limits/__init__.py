"""Tests of endpoints' limits."""
