"""Arbitrary values in the operators' tables raise only the typed errors.

Any other exception would crash every daemon that reads the value, at every start.
"""

from __future__ import annotations

import copy
import json
import math

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from chutelink.entry.config import RouteTable
from chutelink.exceptions import ConfigInvalid, EndpointFailed
from chutelink.platform.configuration import decode_config
from chutelink.platform.endpoints import (
    compact_registration,
    decode_registration,
    decode_report,
)
from chutelink.quarantine.model import Hold
from standins.prepared_config import make_config

from ..odd_values import VALUES, make_nested
from .test_endpoints import ROW

CONFIG = make_config(1, {"llm": "llm", "plain": "plain"})


REPORT = {
    "models": ROW["models"],
    "seq": 3,
    "kv_used": 1,
    "kv_total": 2,
    "coming": ["m/a2@1"],
    "at_hand": {"in_memory": ["m"], "on_disk": []},
    "born": 1,
}


def iter_paths(value, path=()):
    """Yield the path to each part of a nested value."""
    yield path
    items = value.items() if isinstance(value, dict) else ()
    if isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        yield from iter_paths(inner, (*path, key))


def replace_at(value, path, new):
    """Return a copy with the part at a path replaced."""
    if not path:
        return new
    changed = copy.deepcopy(value)
    inner = changed
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = new
    return changed


@settings(max_examples=400)
@given(st.sampled_from(list(iter_paths(CONFIG))), VALUES)
def test_configuration_with_an_arbitrary_part_is_accepted_or_rejected(path, value):
    try:
        config = decode_config(replace_at(CONFIG, path, value))
    except ConfigInvalid:
        return
    RouteTable(config).find("a.example", "/once/x")
    for route in config.routes:
        weights = [float(part.weight) for part in route.services]
        assert min(weights) >= 0
        assert math.isfinite(route.timeout_s + route.priority + sum(weights))


@settings(max_examples=400)
@given(st.sampled_from(list(iter_paths(ROW))), VALUES)
def test_registration_with_an_arbitrary_part_is_accepted_or_rejected(path, value):
    changed = replace_at(ROW, path, value)
    try:
        record = decode_registration("i-1", compact_registration(changed))
    except EndpointFailed:
        return
    assert record.slots >= 1 and record.address.count(":") == 1
    assert math.isfinite(record.born_ms / record.slots + record.cold_left_s)


@settings(max_examples=400)
@given(st.sampled_from(list(iter_paths(REPORT))), VALUES)
def test_report_with_an_arbitrary_part_is_accepted_or_rejected(path, value):
    try:
        body = json.dumps(replace_at(REPORT, path, value)).encode()
        report = decode_report("i-1", body)
    except EndpointFailed:
        return
    assert math.isfinite(float(report.sequence + report.kv_used_tokens))


@given(st.binary() | st.sampled_from([make_nested(20_000), b'{"x": NaN}']))
def test_arbitrary_bytes_are_a_report_or_rejected(body):
    try:
        decode_report("i-1", body)
    except EndpointFailed:
        return


@given(VALUES)
def test_arbitrary_hold_is_accepted_or_rejected(value):
    try:
        msgspec.convert(value, Hold)
    except msgspec.ValidationError:
        return
