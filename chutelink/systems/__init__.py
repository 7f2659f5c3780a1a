"""Pure decisions over tables: no I/O, and time is passed in."""
