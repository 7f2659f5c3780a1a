"""Replication of the store's tables to the daemons."""
