"""Dialling of addresses that other programs wrote."""

from __future__ import annotations

import asyncio

from chutelink.peers.dialing import Dialer
from chutelink.settings import PeersSection

from ..fakes import make_core


class RefusingTransport:
    """Fails as the transport does for an address that is not one."""

    async def async_dial(self, address, handler):
        raise ValueError("port out of range 0-65535")


def test_dial_of_a_malformed_address_ends_with_a_log_line():
    """Its task raised, which no one saw; the address is dialled again later."""
    core, logged, address = make_core(), [], "10.0.0.1:99999"
    core.events.error = lambda event, **fields: logged.append((event, fields["peer"]))

    async def async_test():
        dialer = Dialer(core, PeersSection(), "own", RefusingTransport(), None)
        dialer.dial({address}, 0.0)
        (task,) = dialer._dialing.values()
        await task
        assert not dialer._dialing and dialer._retry_s[address] > 0

    asyncio.run(async_test())
    assert logged == [("unexpected_error", address)]
