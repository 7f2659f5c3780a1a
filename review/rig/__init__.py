"""Shared parts of the scripts of this review: processes on loopback addresses."""
