"""Customers: authentication by key, and quotas."""
