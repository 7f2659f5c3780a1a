"""What daemons learn of endpoints from the requests that they send."""
