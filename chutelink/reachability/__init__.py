"""Detection of, and recovery from, lost network paths to endpoints."""
