"""Tables of the store that daemons follow together."""
