"""Gateway daemon: admits, queues, routes, retries and proxies callers' requests."""
