"""Runs an entry daemon that dials its peers through proxies.

``python -m tests.processes.proxied_daemon PROXIES --settings PATH`` takes pairs
``PEER=PROXY`` of hosts, separated by commas, and the options of the daemon.
"""

from __future__ import annotations

import sys
from urllib.parse import urlsplit

from websockets.asyncio.client import connect

from chutelink.entry.main import main
from chutelink.peers import transport


def dial_through(proxies: dict[str, str]) -> None:
    """Replace the peers' hosts by those of their proxies in all dials."""

    def connect_to_proxy(uri: str, **options: object) -> connect:
        parts = urlsplit(uri)
        host = proxies.get(parts.hostname, parts.hostname)
        return connect(
            parts._replace(netloc=f"{host}:{parts.port}").geturl(), **options
        )

    transport.connect = connect_to_proxy


if __name__ == "__main__":
    dial_through(dict(pair.split("=") for pair in sys.argv.pop(1).split(",")))
    sys.exit(main())
