"""Evacuated failure domains, whose endpoints get no requests and no orders."""
