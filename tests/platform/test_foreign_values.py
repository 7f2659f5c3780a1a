"""Values of other writers in the operators' tables raise the typed errors only.

Whatever else they raised would end each daemon that reads them, at each start.
"""

from __future__ import annotations

import copy

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from chutelink.entry.config import RouteTable
from chutelink.exceptions import ConfigInvalid, EndpointFailed
from chutelink.platform.configuration import decode_config
from chutelink.platform.endpoints import compact_registration, decode_registration
from chutelink.quarantine.model import Hold
from standins.prepared_config import make_config

from .test_endpoints import ROW

CONFIG = make_config(1, {"llm": "llm", "plain": "plain"})
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)


def paths_of(value, path=()):
    """Return the way to each part of a value."""
    yield path
    items = value.items() if isinstance(value, dict) else ()
    if isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        yield from paths_of(inner, (*path, key))


def replaced(value, path, new):
    """Return a copy with one part replaced."""
    if not path:
        return new
    changed = copy.deepcopy(value)
    inner = changed
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = new
    return changed


@settings(max_examples=400)
@given(st.sampled_from(list(paths_of(CONFIG))), VALUES)
def test_a_configuration_with_a_foreign_part_is_taken_or_refused(path, value):
    try:
        config = decode_config(replaced(CONFIG, path, value))
    except ConfigInvalid:
        return
    RouteTable(config).find("a.example", "/once/x")


@settings(max_examples=400)
@given(st.sampled_from(list(paths_of(ROW))), VALUES)
def test_a_registration_with_a_foreign_part_is_taken_or_refused(path, value):
    foreign = replaced(ROW, path, value)
    try:
        record = decode_registration("i-1", compact_registration(foreign))
    except EndpointFailed:
        return
    assert record.slots >= 1 and record.address.count(":") == 1


@given(VALUES)
def test_a_hold_is_one_or_is_refused(value):
    try:
        msgspec.convert(value, Hold)
    except msgspec.ValidationError:
        return
