"""Connections that are closed to make room for others."""

from __future__ import annotations

import asyncio

import pytest

from chutelink.serving.pool import (
    ConnectionPool,
    PooledConnection,
    Standing,
    limit_connections,
)

from .serving_harness import (
    async_client,
    async_read_head,
    async_serving_harness,
    async_until_closed,
)

REQUEST = b"GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n"


class FakeConnection(PooledConnection):
    """A connection with a fixed standing."""

    def __init__(self, standing: Standing, since_s: float = 0.0) -> None:
        self._standing = (standing, since_s)
        self.is_closed = False
        self.has_request = False

    def standing(self, now_s: float) -> tuple[Standing, float]:
        return self._standing

    def close_for_room(self) -> bool:
        self.is_closed = not self.has_request
        return self.is_closed


def make_pool(*connections: FakeConnection) -> ConnectionPool:
    pool = ConnectionPool(len(connections), lambda: 100.0)
    for connection in connections:
        assert pool.try_add(connection)
    return pool


def test_connection_of_the_lowest_standing_is_closed_the_oldest_first():
    connections = [
        FakeConnection(Standing.ACTIVE, 0.0),
        FakeConnection(Standing.IDLE, 1.0),
        FakeConnection(Standing.STALLED, 2.0),
        FakeConnection(Standing.INCOMPLETE, 4.0),
        FakeConnection(Standing.INCOMPLETE, 3.0),
    ]
    pool = make_pool(*connections)
    order = []
    for _ in range(4):
        assert pool.try_add(FakeConnection(Standing.ACTIVE))
        closed = {c for c in connections if c.is_closed}
        order.append(
            connections.index((closed - {connections[i] for i in order}).pop())
        )
    assert order == [4, 3, 2, 1]


def test_connections_with_requests_are_not_closed():
    active = FakeConnection(Standing.ACTIVE)
    arrived = FakeConnection(Standing.IDLE)
    arrived.has_request = True
    pool = make_pool(active, arrived)
    refused = []
    pool.on_refused = lambda: refused.append(1)
    assert not pool.try_add(FakeConnection(Standing.INCOMPLETE))
    assert refused and not active.is_closed and not arrived.is_closed


def test_only_stalled_connections_are_closed_for_the_memory_of_bodies():
    idle, stalled = FakeConnection(Standing.IDLE), FakeConnection(Standing.STALLED)
    pool = make_pool(idle, stalled)
    assert pool.close_stalled()
    assert stalled.is_closed and not idle.is_closed


@pytest.mark.parametrize(
    ("descriptors", "memory_mb", "expected"),
    [(1000, 100_000, 400), (100_000, 192, 307), (100, 64, 8), (0, 1000, 8)],
)
def test_limit_follows_from_descriptors_and_memory(descriptors, memory_mb, expected):
    assert limit_connections(0.4, descriptors, memory_mb) == expected


def test_idle_connection_gives_way_and_a_request_in_progress_is_answered():
    async def async_test():
        async with async_serving_harness() as harness:
            harness.pool.limit = 2
            harness.may_answer.clear()
            async with (
                async_client(harness) as (active, active_writer),
                async_client(harness) as (idle, _),
            ):
                active_writer.write(REQUEST)
                await harness.async_until(lambda: harness.requests)
                async with async_client(harness) as (third, third_writer):
                    third_writer.write(REQUEST)
                    await async_until_closed(idle)
                    harness.may_answer.set()
                    assert "200 OK" in await async_read_head(active)
                    assert "200 OK" in await async_read_head(third)

    asyncio.run(async_test())
