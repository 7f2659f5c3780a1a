"""Load generation and experiments; not used by the daemons."""
