"""Limits that endpoints name for the requests of all daemons together."""
