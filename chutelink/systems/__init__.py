"""Pure functions that decide from tables, without I/O or access to a clock."""
