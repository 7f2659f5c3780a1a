"""Client and monitoring of endpoints: engines and plain services."""
