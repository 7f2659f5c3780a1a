"""Tests of evacuated failure domains."""
