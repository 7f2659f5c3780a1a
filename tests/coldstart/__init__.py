"""Tests of grants for cold endpoints."""
