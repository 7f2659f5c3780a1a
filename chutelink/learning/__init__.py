"""Statistics on endpoints that daemons derive from the requests that they send."""
