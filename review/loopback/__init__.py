"""Runs entry daemons on loopback addresses, with small stand-ins around them."""
