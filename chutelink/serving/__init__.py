"""Accepts HTTP connections of callers and operators, within bounds."""
