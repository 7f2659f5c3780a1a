"""Tests for sharing a caller's rate between gateways according to usage."""

from __future__ import annotations

from chutelink.fleet import parse_fleet
from chutelink.peers.messages import QueueUpdate
from chutelink.tables.callers import CallerTable
from chutelink.tables.queues import QueueTable

GATEWAYS = 3
RATE_PER_S = 90
FLEET = parse_fleet(
    f"[caller c]\nkey_sha256 = {'0' * 64}\nrate_per_s = {RATE_PER_S}\nburst = 9\n"
).unwrap()


def admit(demand_per_s, seconds):
    """Return the requests that each gateway admits in the last second."""
    tables = [CallerTable() for _ in range(GATEWAYS)]
    queues = [QueueTable() for _ in range(GATEWAYS)]
    for table in tables:
        table.sync(FLEET, GATEWAYS, 0.0)
    admitted = []
    for second in range(1, seconds + 1):
        admitted = [0] * GATEWAYS
        for step in range(100):
            now_s = second + step / 100
            for i, table in enumerate(tables):
                for _ in range(demand_per_s[i] // 100):
                    admitted[i] += table.take("c", now_s) == 0.0
        for i, table in enumerate(tables):
            message = QueueUpdate(
                f"g{i}", "b", "a", second, {}, table.collect_usage(1.0)
            )
            for queue in queues:
                queue.merge(message, second + 1.0)
        for i, table in enumerate(tables):
            others = queues[i].caller_rates_of_others(f"g{i}", second + 1.0)
            table.apply_usage_of_others(others)
    return admitted


def test_single_gateway_grants_full_rate():
    admitted = admit([300, 0, 0], 6)
    assert RATE_PER_S * 0.95 <= admitted[0] <= RATE_PER_S * 1.05


def test_overload_on_all_gateways_gets_rate_in_total():
    admitted = admit([300, 300, 300], 8)
    assert RATE_PER_S * 0.95 <= sum(admitted) <= RATE_PER_S * 1.05
    assert min(admitted) >= RATE_PER_S / GATEWAYS * 0.9


def test_unpublished_usage_exceeds_rate_by_at_most_half():
    admitted = admit([300, 100, 0], 8)
    assert sum(admitted) <= RATE_PER_S * 1.5
