"""Components that the gateway's request handlers share."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from aiohttp import web

from ..core import Application
from ..customers.keys import KeyIndex
from ..endpoints.client import EndpointClient
from ..fleet import CallerSpec, FleetSpec
from ..ids import KeyHash, RequestId
from ..memory import (
    BODY_MEMORY_SHARE,
    RESPONSE_MEMORY_SHARE,
    MemoryLease,
    make_memory_budget,
    make_request_memory,
)
from ..serving.const import FREE_BODY_BYTES
from ..settings import GatewaySettings
from ..systems.admission import RetryBudget
from ..tables.callers import CallerTable
from ..tables.endpoints import EndpointTable
from ..tables.members import MemberTable
from .claims import ClaimManager
from .dispatcher import Dispatcher
from .refusals import Refusal, unauthorized
from .relay import Relay
from .shutdown import RequestEnder

DEFAULT_PREFILL_TOKENS_PER_S = 10_000.0
REQUEST_ID = web.RequestKey("request_id", RequestId)
BODY_LEASE = web.RequestKey("body_lease", MemoryLease)


class GatewayComponents:
    """Shared state and services of the request handlers, set up by the application.

    Parameters
    ----------
    core : Application
        Application that owns the components.
    settings : GatewaySettings
        Validated settings.
    client : EndpointClient
        HTTP client for the endpoints.
    claims : ClaimManager
        Claims on idempotency keys.
    endpoints : EndpointTable
        Known state of the endpoints.
    members : MemberTable
        Known state of the other daemons.
    """

    def __init__(
        self,
        core: Application,
        settings: GatewaySettings,
        client: EndpointClient,
        claims: ClaimManager,
        endpoints: EndpointTable,
        members: MemberTable,
    ) -> None:
        self.core = core
        self.settings = settings
        self.client = client
        client.response_memory = make_memory_budget(
            settings.gateway.memory_mb, RESPONSE_MEMORY_SHARE
        )
        self.claims = claims
        self.endpoints = endpoints
        self.members = members
        self.callers = CallerTable()
        self.keys: KeyIndex[CallerSpec] = KeyIndex()
        self.body_memory = make_request_memory(
            settings.gateway.memory_mb, BODY_MEMORY_SHARE, FREE_BODY_BYTES
        )
        self.retry_budget = RetryBudget(settings.gateway.retry_budget_ratio)
        self.ender = RequestEnder()
        self.dispatcher = Dispatcher(
            core,
            endpoints,
            settings.gateway.max_queue,
            settings.gateway.request_timeout_s,
        )
        self.relay = Relay(
            core,
            client,
            self.dispatcher,
            endpoints,
            self.retry_budget,
            settings.gateway.idle_timeout_s,
            self.ender,
        )
        self._tasks: set[asyncio.Task] = set()

    def sync_keys(self, fleet: FleetSpec) -> None:
        """Apply the API keys of the active fleet."""
        self.keys = KeyIndex(
            (KeyHash(caller.key_sha256), caller) for caller in fleet.callers.values()
        )

    def authenticate(self, request: web.Request) -> CallerSpec:
        """Return the caller of a request, or raise `Refusal` with status 401."""
        caller = self.keys.find(request.headers)
        if caller is None:
            raise unauthorized()
        return caller

    def admit(self, caller: CallerSpec) -> None:
        """Take a token from the caller's bucket, or raise `Refusal` with status 429."""
        wait_s = self.callers.take(caller.name, self.core.clock())
        if wait_s > 0:
            raise Refusal(429, "over the caller's limit", retry_after_s=wait_s)
        self.retry_budget.note_request()

    def expected_first_token_s(self, tokens: int) -> float:
        """Return the expected time from dispatch to the first token, in seconds.

        The estimate uses the fastest prefill rate that any engine reports.
        """
        rates = [
            row.report.prefill_tokens_per_s
            for row in self.endpoints.engines()
            if row.report is not None
        ]
        return tokens / max(rates, default=DEFAULT_PREFILL_TOKENS_PER_S)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run a coroutine that must complete even if the caller disconnects."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    @property
    def running_tasks(self) -> int:
        """Number of spawned tasks that are still running."""
        return len(self._tasks)
