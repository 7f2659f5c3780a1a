"""Randomized faults around the real programs, and checks of what they promise."""
