"""What requests were doing to endpoints: the quarantine's one face to the relays."""

from __future__ import annotations

import asyncio

from ..core import Application
from ..ids import EndpointId, Fingerprint
from .fingerprint import RequestContent, make_fingerprint
from .probe import ConnectProbe, EndingProbe


class Quarantine:
    """Finds out which requests were running where an endpoint has ended.

    Parameters
    ----------
    core : Application
        The owner.
    probe : EndingProbe, optional
        Tells an ending from a broken connection.
    """

    def __init__(self, core: Application, probe: EndingProbe | None = None) -> None:
        self._core = core
        self._probe = probe or ConnectProbe()
        self._probes: dict[EndpointId, asyncio.Task[bool]] = {}

    def fingerprint(self, content: RequestContent) -> Fingerprint:
        """Return what a request has in common with its repetitions."""
        return make_fingerprint(self._core.daemon.peer_key, content)

    async def async_note_broken(
        self, fingerprint: Fingerprint, endpoint: EndpointId, address: str
    ) -> None:
        """Take in that a run was broken off, and find out whether its endpoint ended.

        Many runs break at once; one connection tells for all of them.
        """
        task = self._probes.get(endpoint)
        if task is None:
            task = asyncio.ensure_future(self._probe.async_is_refused(address))
            self._probes[endpoint] = task
            task.add_done_callback(lambda _: self._probes.pop(endpoint, None))
        if await asyncio.shield(task):
            self._core.events.record(
                "ended_under", fingerprint=fingerprint, endpoint=endpoint
            )
