"""The entry program: relays opaque requests to endpoints that come and go."""
