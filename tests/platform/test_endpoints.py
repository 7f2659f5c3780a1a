"""Wire formats of endpoint registrations, reports and orders."""

from __future__ import annotations

import json

import pytest

from chutelink.entry.endpoints import EndpointState
from chutelink.exceptions import EndpointFailed
from chutelink.placing.inventory import Order, OrderAction
from chutelink.platform.endpoints import (
    compact_registration,
    decode_registration,
    decode_report,
    encode_order,
)

from ..odd_values import HUGE

ROW = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "zone-a",
    "version": "v1",
    "slots": 64,
    "state": "draining",
    "seq": 44,
    "cold_left_ms": 0,
    "models": [{"name": "m", "version": 1, "adapters": ["a1"]}],
}


def test_registration_is_decoded():
    record = decode_registration("i-1", ROW)
    assert record.state is EndpointState.DRAINING
    assert record.models == {"m": frozenset({"a1"})}
    assert record.software_version == "v1"


def test_heartbeat_fields_are_not_a_change():
    later = ROW | {"seq": 45}
    assert compact_registration(ROW) == compact_registration(later)
    assert compact_registration(ROW) != compact_registration(ROW | {"state": "ready"})
    assert decode_registration("i-1", compact_registration(ROW)).slots == 64


def test_registration_changes_while_it_is_cold_and_when_it_is_warm():
    """Otherwise daemons would not learn of a cold endpoint, or not until when."""
    rows = [compact_registration(ROW | {"cold_left_ms": n}) for n in (2400, 1200, 0)]
    left_s = [decode_registration("i-1", row).cold_left_s for row in rows]
    assert left_s == [2.4, 1.2, 0.0]
    warm = {name: value for name, value in ROW.items() if name != "cold_left_ms"}
    assert rows[2] == compact_registration(warm)
    with pytest.raises(EndpointFailed):
        decode_registration("i-1", ROW | {"cold_left_ms": -1})


@pytest.mark.parametrize("value", [None, 3, {"address": "x"}, {"service": 1}])
def test_invalid_registration_is_rejected(value):
    with pytest.raises(EndpointFailed):
        decode_registration("i-1", value)


HUGE_NUMBERS = {"slots": HUGE, "born": HUGE, "cold_left_ms": 1e300}


@pytest.mark.parametrize("field", HUGE_NUMBERS)
def test_registration_with_an_oversized_number_is_rejected(field):
    """400 digits of slots were one registration's fault, and 500 for the service."""
    with pytest.raises(EndpointFailed):
        decode_registration("i-1", ROW | {field: HUGE_NUMBERS[field]})


@pytest.mark.parametrize("field", ["seq", "queued", "active", "kv_used", "born"])
@pytest.mark.parametrize("number", ["1" * 400, str(2**53), "-1"])
def test_report_with_a_number_out_of_range_is_rejected(field, number):
    with pytest.raises(EndpointFailed):
        decode_report("i-1", f'{{"{field}": {number}}}'.encode())


@pytest.mark.parametrize(
    "address",
    ["999.0.0.1:80", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:80\n", "10.0.0:80"]
    + ["0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80", "10.0.0.1:٨٠"],
)
def test_address_without_a_host_or_port_is_rejected(address):
    """Requests to it failed, or reached the daemon's own machine."""
    with pytest.raises(EndpointFailed):
        decode_registration("i-1", ROW | {"address": address})


@pytest.mark.parametrize("name", ["", "i\n1", "i" * 257])
def test_endpoint_id_that_no_header_can_hold_is_rejected(name):
    with pytest.raises(EndpointFailed):
        decode_registration(name, ROW)


def test_overlong_names_are_rejected():
    for field in ("service", "zone", "version"):
        with pytest.raises(EndpointFailed):
            decode_registration("i-1", ROW | {field: "x" * 257})


def test_report_lists_adapters_being_loaded():
    body = {"models": [], "busy": True, "seq": 3, "coming": ["m/a2@1"]}
    report = decode_report("i-1", json.dumps(body).encode())
    assert report.is_busy and report.sequence == 3
    assert report.coming == (("m", "a2"),)


@pytest.mark.parametrize("body", [b"", b"[]", b'{"seq": "x"}', b"\xff"])
def test_invalid_report_is_rejected(body):
    with pytest.raises(EndpointFailed):
        decode_report("i-1", body)


def test_order_contains_the_expected_sequence():
    order = Order(OrderAction.UNLOAD, "m", "a1", 7, "vm-1", 3)
    assert json.loads(encode_order(order)) == {
        "op": "unload",
        "model": "m",
        "adapter": "a1",
        "expected_rev": 7,
        "holder": "vm-1",
        "fence": 3,
    }
