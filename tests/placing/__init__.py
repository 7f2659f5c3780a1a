"""Tests of chutelink.placing."""
