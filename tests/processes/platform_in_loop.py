"""A deployment whose store and endpoints run in the event loop of the test."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
from aiohttp import web

from standins.prepared import PreparedMachines
from standins.prepared_config import make_config
from standins.prepared_endpoint import EndpointStandin

from .entry_deployment import SERVICES, STORE_PORT, EntryDeployment

LOAD_S = 0.1


class PlatformInLoop(EntryDeployment):
    """A store with endpoints in this event loop, and daemons."""

    def __init__(self, directory: Path) -> None:
        super().__init__(directory)
        self.machines = PreparedMachines()
        self._runner: web.AppRunner | None = None

    async def async_start_platform(self, endpoints: list[EndpointStandin]) -> None:
        """Start the store and the endpoints."""
        app = web.Application()
        self.machines.store.add_routes(app)
        self._runner = web.AppRunner(app)
        await self._runner.setup()
        await web.TCPSite(self._runner, f"{self.subnet}.1", STORE_PORT).start()
        for endpoint in endpoints:
            await self.async_add(endpoint)
        self.machines.configure(make_config(1, SERVICES))

    async def async_add(self, endpoint: EndpointStandin) -> None:
        """Start an endpoint."""
        endpoint.models = {
            model: list(names) for model, names in endpoint.models.items()
        }
        await self.machines.async_add(endpoint, f"{self.subnet}.1")

    async def async_close(self) -> None:
        """Stop the daemons, the endpoints and the store."""
        await super().async_close()
        await self.machines.async_close()
        await self._runner.cleanup()


def make_engine(name: str, software_version: str | None = None) -> EndpointStandin:
    """Return an engine that has the model m0."""
    endpoint = EndpointStandin(name, "llm", {"m0": []}, LOAD_S)
    endpoint.software_version = software_version
    return endpoint


@asynccontextmanager
async def async_platform_in_loop(
    directory: Path, endpoints: list[EndpointStandin], daemons: int = 3
) -> AsyncIterator[PlatformInLoop]:
    """Run daemons as processes against a store and endpoints in this event loop."""
    deployment = PlatformInLoop(directory)
    deployment.session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(force_close=True, limit=0)
    )
    try:
        await deployment.async_start_platform(endpoints)
        await deployment.async_start_daemons(daemons)
        yield deployment
    finally:
        await deployment.async_close()
