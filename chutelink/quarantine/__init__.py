"""Quarantine of requests that terminate the endpoints that run them."""
