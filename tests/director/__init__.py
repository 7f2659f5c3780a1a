"""Tests of the director package."""
