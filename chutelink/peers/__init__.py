"""Membership and messaging between daemons, as CBOR over websockets."""
