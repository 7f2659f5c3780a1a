"""Rate limits that endpoints announce for the requests of all daemons together."""
