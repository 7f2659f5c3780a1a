"""Relaying of requests: endpoint selection, attempts and responses."""
