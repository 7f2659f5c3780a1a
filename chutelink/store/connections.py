"""Kept connections of a client session."""

from __future__ import annotations

import aiohttp
from yarl import URL


def close_idle_connections(session: aiohttp.ClientSession, url: str) -> int:
    """Close the kept connections to a service that no call uses; return how many.

    Where one of them has fallen silent, the others usually have too, and each would
    cost a later call its time limit. The library has no call for this.
    """
    target = URL(url)
    pool = session.connector._conns
    keys = [key for key in pool if (key.host, key.port) == (target.host, target.port)]
    protocols = [protocol for key in keys for protocol, _ in pool.pop(key)]
    for protocol in protocols:
        protocol.close()
    return len(protocols)
