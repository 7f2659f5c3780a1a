"""Keeps requests with home regions inside these regions."""
