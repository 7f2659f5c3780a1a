"""Software versions of the endpoints that began streams, kept for their resumption."""
