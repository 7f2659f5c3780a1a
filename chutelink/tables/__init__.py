"""Types of table rows, and in-memory tables of the state that a daemon knows."""
