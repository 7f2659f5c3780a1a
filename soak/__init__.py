"""Soak tests: random faults against the real programs, with invariant checks."""
