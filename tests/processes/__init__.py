"""Tests that run the daemons as separate processes."""
