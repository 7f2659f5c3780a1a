"""Tests of the eligibility rules."""
