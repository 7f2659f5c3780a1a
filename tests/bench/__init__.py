"""Tests of the load generation and experiment tool."""
