"""Tests of chutelink.learning."""
