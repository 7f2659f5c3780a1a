"""Entities in tables; systems run over them each tick."""
