"""Entry daemon: relays opaque requests to a changing set of endpoints."""
