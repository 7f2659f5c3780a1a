"""Serving of many models on fewer accelerators, on VMs that come and go."""

__version__ = "0.1.0"
