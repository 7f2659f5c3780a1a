"""Requests that end the endpoints that run them, and how they are kept away."""
