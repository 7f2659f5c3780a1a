"""Adapter to the operators' prepared machines: translation, and nothing else.

Each module turns one of their interfaces into the product's types, and no other
package knows their names.
"""
