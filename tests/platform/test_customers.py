"""Decoding of customers, and the removal of their plaintext keys."""

from __future__ import annotations

import json

import pytest

from chutelink.const import KEY_ROUTING_CONFIG
from chutelink.customers.keys import hash_key
from chutelink.customers.model import QuotaUnit
from chutelink.exceptions import ConfigInvalid
from chutelink.platform.adapter import PreparedMachinesAdapter
from chutelink.platform.configuration import decode_config
from standins.prepared_config import make_config

SERVICES = {"llm": "s-llm", "plain": "s-plain"}
ACME = {
    "name": "acme",
    "keys": ["key-of-acme", "second-key"],
    "priority": 1,
    "unit": "token_count",
    "plain_tokens": 200,
    "rate_per_s": 1000,
    "burst": 500,
}


def decode(*customers):
    config = make_config(7, SERVICES) | {"tenants": list(customers)}
    return decode_config(config).customers


def test_customer_is_decoded():
    customer = decode(ACME)["acme"]
    assert customer.key_hashes == (hash_key("key-of-acme"), hash_key("second-key"))
    assert customer.priority == 1
    quota = customer.quota
    assert (quota.unit, quota.rate_per_s) == (QuotaUnit.TOKENS, 1000)
    assert (quota.burst, quota.plain_tokens) == (500, 200)


def test_no_keys_are_required_without_customers():
    assert decode_config(make_config(7, SERVICES)).customers is None


def test_rate_of_0_means_no_quota():
    assert decode(ACME | {"rate_per_s": 0})["acme"].quota is None
    assert decode({"name": "acme", "keys": ["k"]})["acme"].quota is None


def test_compact_row_contains_no_plaintext_key():
    config = make_config(7, SERVICES) | {"tenants": [ACME]}
    kept = PreparedMachinesAdapter().compact_row(KEY_ROUTING_CONFIG, config)
    assert "key-of-acme" not in json.dumps(kept)
    assert decode_config(kept).customers == decode_config(config).customers


@pytest.mark.parametrize(
    "changes",
    [
        {"keys": [""]},
        {"keys": ["  "]},
        {"keys": ["secret" * 800]},
        {"keys": [7]},
        {"keys": "secret"},
        {"keys": None},
        {"name": ""},
        {"unit": "bananas"},
        {"rate_per_s": -1},
        {"rate_per_s": "secret"},
        {"priority": "high"},
    ],
)
def test_malformed_customer_is_rejected(changes):
    with pytest.raises(ConfigInvalid) as caught:
        decode(ACME | changes)
    assert "secret" not in str(caught.value)


@pytest.mark.parametrize("customers", [None, "none", {"acme": []}, 7])
def test_customers_not_in_a_list_are_rejected_and_dropped(customers):
    config = make_config(7, SERVICES) | {"tenants": customers}
    with pytest.raises(ConfigInvalid):
        decode_config(config)
    kept = PreparedMachinesAdapter().compact_row(KEY_ROUTING_CONFIG, config)
    assert kept["tenants"] is None


def test_key_shared_by_two_customers_is_rejected():
    with pytest.raises(ConfigInvalid, match="acme"):
        decode(ACME, {"name": "other", "keys": ["key-of-acme"]})
    with pytest.raises(ConfigInvalid):
        decode(ACME, ACME)


def test_customer_may_list_a_key_twice():
    assert decode(ACME | {"keys": ["k", "k"]})["acme"].key_hashes
