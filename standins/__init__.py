"""Simulated external systems for the tests and the demo."""
