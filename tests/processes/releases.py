"""Releases of a new software version, and streams that its endpoints begin."""

from __future__ import annotations

import asyncio
import random

from standins.prepared_config import make_config

from .entry_deployment import SERVICES
from .platform_in_loop import PlatformInLoop, make_engine
from .resuming_caller import EVENTS, OK, ResumingCaller, StreamOutcome, mixed

OLD, NEW = "v1", "v2"
OLD_ENDPOINTS = 2
BROKEN_AFTER = 5
"""Events after which callers close the connections of streams that they resume."""
BATCH = 4
"""Streams that are begun at the same time by each daemon."""


def make_release_config(version: int, services: list[str]) -> dict:
    """Return a configuration with a resumable stream route for each service."""
    config = make_config(version, SERVICES)
    engine, route = config["services"][0], config["routes"][0]
    for name in services:
        config["services"].append(engine | {"name": name})
        changes = {"name": f"r-{name}", "prefix": f"/{name}/", "service": name}
        config["routes"].append(route | changes)
    return config


class Release:
    """A service with endpoints of the old version, where some of the new one join.

    Parameters
    ----------
    fleet : PlatformInLoop
        Deployment with the daemons.
    service : str
        Name of the service; its route has the prefix ``/SERVICE/``.
    new_endpoints : int
        Number of endpoints of the new version.
    """

    def __init__(
        self, fleet: PlatformInLoop, service: str, new_endpoints: int = 1
    ) -> None:
        self._fleet = fleet
        self.service = service
        self._new_names = [f"i-{service}-{NEW}-{n}" for n in range(new_endpoints)]
        self.caller = ResumingCaller(fleet, random.Random(service))
        self.caller.prefix = f"/{service}"
        self.broken: list[StreamOutcome] = []
        """Streams that the new version began, and that broke."""
        self.broken_old: list[StreamOutcome] = []
        """Streams that the old version began meanwhile, and that broke."""
        self.others: list[StreamOutcome] = []
        """Streams that were to go through in one attempt."""

    async def async_start(self) -> None:
        """Start the endpoints of the old version."""
        for number in range(OLD_ENDPOINTS):
            await self._async_add(f"i-{self.service}-{OLD}-{number}", OLD)

    async def async_join(self) -> None:
        """Start the endpoints of the new version, which have their models at once."""
        for name in self._new_names:
            await self._async_add(name, NEW)

    async def _async_add(self, name: str, version: str) -> None:
        endpoint = make_engine(name, version)
        endpoint.service = self.service
        await self._fleet.async_add(endpoint)

    async def async_take_back(self, drain_s: float) -> None:
        """Let the endpoints of the new version leave, which announce it before."""
        machines = self._fleet.machines
        for name in self._new_names:
            machines.endpoints[name].change_state("draining")
            machines.register(name)
        await asyncio.sleep(drain_s)
        for name in self._new_names:
            machines.remove(name)

    async def async_begin(
        self, label: str, count: int, daemons: list[int]
    ) -> list[StreamOutcome]:
        """Return streams that the new version began through these daemons."""
        begun: list[StreamOutcome] = []

        async def async_has_enough() -> bool:
            streams = await self.async_break_some(label, daemons)
            begun.extend(s for s in streams if s.versions == {NEW})
            return len(begun) >= count

        await self._fleet.async_until(async_has_enough)
        self.broken += begun
        return begun

    async def async_break_some(
        self, label: str, daemons: list[int]
    ) -> list[StreamOutcome]:
        """Return streams that broke, and keep those that the old version began."""
        places = daemons * BATCH
        streams = [self.caller.begin(f"{self.service}-{label}") for _ in places]
        await asyncio.gather(
            *(
                self.caller.async_attempt(stream, daemon, BROKEN_AFTER)
                for stream, daemon in zip(streams, places, strict=True)
            )
        )
        self.broken_old += [s for s in streams if s.versions == {OLD}]
        return streams

    async def async_send(self, daemon: int) -> StreamOutcome:
        """Send a new stream through a daemon."""
        stream = self.caller.begin(f"{self.service}-new")
        await self.caller.async_attempt(stream, daemon)
        self.others.append(stream)
        return stream

    async def async_resume(self, streams: list[StreamOutcome], daemon: int) -> None:
        """Resume once, through a daemon, those of the streams that aren't complete."""
        await asyncio.gather(
            *(
                self.caller.async_attempt(stream, daemon)
                for stream in streams
                if not stream.is_complete
            )
        )

    @property
    def all_broken(self) -> list[StreamOutcome]:
        """The streams of both versions that broke."""
        return self.broken + self.broken_old

    def check_refusals(self) -> None:
        """Assert that each resumption went on or was refused, and then ran nowhere."""
        for stream in self.all_broken:
            assert set(stream.statuses) <= {OK, 503}, stream
            assert stream.resumptions == stream.went_on + len(stream.refused), stream
        endpoints = self._fleet.machines.endpoints.values()
        runs = {run for endpoint in endpoints for run in endpoint.runs}
        assert not runs & {name for s in self.all_broken for name in s.refused}

    def check_others(self) -> None:
        """Assert that each new stream came whole in its only attempt."""
        assert [s.id for s in self.others if s.last_event != EVENTS] == []


def share_complete(streams: list[StreamOutcome]) -> float:
    """Return the share of streams that are complete."""
    return sum(s.is_complete for s in streams) / max(1, len(streams))


def check_releases(releases: list[Release]) -> None:
    """Assert that no stream has two versions or a gap, and no refused one ran."""
    streams = [stream for release in releases for stream in release.all_broken]
    found = mixed(streams)
    assert not found, f"{len(found)} of {len(streams)} mixed: {found[:5]}"
    assert [s.id for s in streams if s.gaps] == []
    for release in releases:
        release.check_refusals()
        release.check_others()


async def async_start_releases(
    fleet: PlatformInLoop, releases: list[Release], daemons: list[int]
) -> None:
    """Start the releases' services, and wait until all daemons serve them.

    Services of earlier releases stay configured.
    """
    for release in releases:
        await release.async_start()
    endpoints = fleet.machines.endpoints.values()
    services = sorted({endpoint.service for endpoint in endpoints} - SERVICES.keys())
    version = fleet.machines.config["version"] + 1
    fleet.machines.configure(make_release_config(version, services))

    async def async_serves_all() -> bool:
        started = await asyncio.gather(
            *(
                _async_starts(release, daemon)
                for release in releases
                for daemon in daemons
            )
        )
        return all(started)

    await fleet.async_until(async_serves_all)


async def _async_starts(release: Release, daemon: int) -> bool:
    stream = release.caller.begin("start")
    await release.caller.async_attempt(stream, daemon)
    return stream.is_complete
