"""The gateway: admits, queues, routes, retries and relays callers' requests."""
