"""Tests of the systems package."""
