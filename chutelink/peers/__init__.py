"""Links between the system's own processes: websockets with CBOR."""
