"""Decoding of customers, which the operators' configuration calls tenants."""

from __future__ import annotations

from typing import Any

import msgspec

from ..customers.const import MAX_KEY_BYTES
from ..customers.keys import hash_key
from ..customers.model import Customer, Quota, QuotaUnit
from ..decoding import MAX_EXACT_INTEGER, Integer, Name
from ..exceptions import ConfigInvalid
from ..ids import CustomerName, KeyHash, RegionName

FIELD_CUSTOMERS = "tenants"
FIELD_KEYS = "keys"
FIELD_KEY_HASHES = "key_hashes"
"""Replaces ``keys`` as soon as a configuration has been read."""
FIELD_PROBLEM = "key_problem"
"""Replaces ``keys`` if one of them is malformed."""
UNITS = {
    "": QuotaUnit.REQUESTS,
    "requests": QuotaUnit.REQUESTS,
    "token_count": QuotaUnit.TOKENS,
}


class WireCustomer(msgspec.Struct):
    """A customer.

    ``plain_tokens`` is the quota cost of a request without a token count. A
    ``rate_per_s`` of 0 means no limit, regardless of ``burst``.
    """

    name: Name
    key_hashes: list[str] = []
    key_problem: str = ""
    priority: Integer | None = None
    unit: str = ""
    rate_per_s: float = 0.0
    burst: float = 0.0
    plain_tokens: float = 1.0
    home_regions: list[str] | None = None


def hash_keys(config: Any) -> Any:
    """Return a configuration with plaintext keys replaced by their hashes.

    Plaintext keys are therefore never stored or sent to other daemons. A malformed key
    can only be detected here; it is reported when the configuration is decoded.
    """
    if not isinstance(config, dict) or FIELD_CUSTOMERS not in config:
        return config
    customers = config[FIELD_CUSTOMERS]
    if not isinstance(customers, list):
        # The decoder rejects this value. It may contain keys, so it is not kept.
        return config | {FIELD_CUSTOMERS: None}
    return config | {FIELD_CUSTOMERS: [_hash_customer_keys(c) for c in customers]}


def _hash_customer_keys(customer: Any) -> Any:
    if not isinstance(customer, dict) or FIELD_KEYS not in customer:
        return customer
    keys = customer[FIELD_KEYS]
    problem = _check_keys(keys)
    kept = {name: v for name, v in customer.items() if name != FIELD_KEYS}
    if problem:
        return kept | {FIELD_PROBLEM: problem}
    return kept | {FIELD_KEY_HASHES: [hash_key(key) for key in keys]}


def _check_keys(keys: Any) -> str:
    """Return a description of the first invalid key, without its text, or ""."""
    if not isinstance(keys, list):
        return "keys are not a list"
    for index, key in enumerate(keys):
        if not isinstance(key, str):
            return f"key {index} is not text"
        if not key.strip():
            return f"key {index} is empty"
        if len(key.encode("utf-8", "surrogateescape")) > MAX_KEY_BYTES:
            return f"key {index} is longer than {MAX_KEY_BYTES} bytes"
    return ""


def decode_customers(wires: list[WireCustomer]) -> dict[CustomerName, Customer]:
    """Decode customers, by name.

    Raises
    ------
    ConfigInvalid
        A name is empty or duplicated, a key is malformed or shared by two customers,
        or a limit is negative.
    """
    customers: dict[CustomerName, Customer] = {}
    owners: dict[str, str] = {}
    for wire in wires:
        if not wire.name or wire.name in customers:
            raise _make_error("customer name is empty or duplicated", wire.name)
        if wire.key_problem:
            raise _make_error(wire.key_problem, wire.name)
        for key_hash in wire.key_hashes:
            if owners.setdefault(key_hash, wire.name) != wire.name:
                other = owners[key_hash]
                raise _make_error(f"customer {other!r} has the same key", wire.name)
        customers[CustomerName(wire.name)] = Customer(
            CustomerName(wire.name),
            tuple(KeyHash(key_hash) for key_hash in wire.key_hashes),
            wire.priority,
            _decode_quota(wire),
            decode_home_regions(wire.home_regions),
        )
    return customers


def decode_home_regions(names: list[str] | None) -> frozenset[RegionName] | None:
    """Decode the home regions of a route or customer, None if it has none.

    An empty list stays an empty set, so that it does not allow all regions.
    """
    return None if names is None else frozenset(map(RegionName, names))


def _decode_quota(wire: WireCustomer) -> Quota | None:
    unit = UNITS.get(wire.unit)
    if unit is None:
        raise _make_error(f"unknown quota unit {wire.unit!r}", wire.name)
    limits = (wire.rate_per_s, wire.burst, wire.plain_tokens)
    if not all(0 <= limit <= MAX_EXACT_INTEGER for limit in limits):
        raise _make_error("quota limits must not be negative or above 2^53", wire.name)
    if not wire.rate_per_s:
        return None
    return Quota(unit, wire.rate_per_s, wire.burst, wire.plain_tokens)


def _make_error(problem: str, customer: str) -> ConfigInvalid:
    return ConfigInvalid(problem, step="config.customer", peer=customer)
