"""Adapter to the platform of the operators' prepared machines.

Each module translates one external interface into internal types. No other package
depends on the external names.
"""
