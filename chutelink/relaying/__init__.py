"""Requests on their way: the choice of endpoints, attempts and answers."""
