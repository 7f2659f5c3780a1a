"""Tests of home regions."""
