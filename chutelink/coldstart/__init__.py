"""Grants for requests to endpoints that take only few requests after a start."""
