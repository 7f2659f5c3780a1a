"""Tests of the soak package."""
