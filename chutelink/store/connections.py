"""Pooled connections of a client session."""

from __future__ import annotations

import aiohttp
from yarl import URL


def close_idle_connections(session: aiohttp.ClientSession, url: str) -> int:
    """Close the idle pooled connections to a service and return their number.

    If one connection stopped responding without a reset, the others usually did too,
    and each of them would make a later call time out. aiohttp has no public method
    for this.
    """
    target = URL(url)
    pool = session.connector._conns
    keys = [key for key in pool if (key.host, key.port) == (target.host, target.port)]
    protocols = [protocol for key in keys for protocol, _ in pool.pop(key)]
    for protocol in protocols:
        protocol.close()
    return len(protocols)
