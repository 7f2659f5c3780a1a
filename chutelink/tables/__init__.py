"""In-memory tables of entities, which the systems process on each tick."""
