"""Decides whether a request may be sent to an endpoint, and if not, why."""
