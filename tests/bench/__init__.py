"""Tests of the load and experiment tool."""
