"""Protocol to endpoints: engines and plain services."""
