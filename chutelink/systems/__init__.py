"""Policies, limits and state transitions, without I/O or access to a clock."""
