"""Tests of Chutelink."""
