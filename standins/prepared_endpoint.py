"""Stand-in for an endpoint of the prepared machines: an engine or a plain server."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import time
from collections.abc import Callable
from enum import Enum

import msgspec
from aiohttp import web

from .cold_state import Arrival, ColdState
from .web import json_response

TOKEN_INTERVAL_S = 0.005
CRASH_BODY = b"deadly"
"""A request body that crashes every endpoint that runs it."""
CRASH_PARTS = frozenset({"dead1", "dead2"})
"""Ids of prompt parts that crash every endpoint that begins to answer on them."""
CRASH_DELAY_S = 0.02
"""How long such a request runs before it crashes the endpoint."""
MAX_HEAD_BYTES = 128 * 1024
"""Limit of each part of a request's head; callers' limits are configured elsewhere."""
NOT_RUN_HEADERS = {"X-Not-Executed": "1"}


def reset_connection(request: web.BaseRequest) -> None:
    """Reset the connection (TCP RST) instead of closing it."""
    sock = request.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    request.transport.abort()


def _unframed_head(headers: dict[str, str]) -> bytes:
    """Return the head of an answer whose body ends with its connection."""
    lines = [f"{name}: {value}" for name, value in headers.items()]
    lines = ["HTTP/1.1 200 OK", *lines, "Connection: close"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def _token_total(request: web.BaseRequest) -> int:
    """Return the number of events that a stream has in all."""
    return int(request.headers.get("X-Token-Count", "0,5").partition(",")[2])


def _has_crash_part(request: web.BaseRequest) -> bool:
    """Return whether a part of the prompt other than the last crashes endpoints."""
    prompt = request.headers.get("X-Prompt-Prefix", "").split(",")
    return not CRASH_PARTS.isdisjoint(part.partition(":")[0] for part in prompt[:-1])


class Successor(Enum):
    """Process that follows at the address of one that a request has crashed."""

    DELAYED = "delayed"
    SAME_ID = "same_id"
    NEW_ID = "new_id"


class EndpointFaults(msgspec.Struct, frozen=True):
    """Injected faults of one endpoint; each affected call decrements the count.

    ``limit_per_s`` is announced in all answers; 0 announces no limit.
    ``says_leaving`` makes all answers announce that the endpoint is leaving, whatever
    its registration says. ``pause_s`` rejects all requests and asks for a pause of
    this length; 0 rejects none. ``brittle_per_s`` announces that more rejections a
    second than this crash it, 0 announces nothing; ``room`` is the number of requests
    that it takes at the same time, 0 for any; each request runs for ``work_s``.
    ``event_interval_s`` is the time between the events of a stream.
    A ``successor`` that isn't delayed serves the address before the crashed process's
    connections are closed.
    """

    refuse: int = 0
    errors: int = 0
    foreign: int = 0
    reset_unframed: int = 0
    end_unframed: int = 0
    crash_unframed: int = 0
    unframed_events: int = 0
    successor: Successor = Successor.DELAYED
    cut_after_events: int = 0
    cuts: int = 1
    mute: int = 0
    cut_orders: int = 0
    limit_per_s: float = 0.0
    says_leaving: bool = False
    pause_s: float = 0.0
    brittle_per_s: float = 0.0
    room: int = 0
    work_s: float = 0.0
    event_interval_s: float = TOKEN_INTERVAL_S


class ServiceSettings(msgspec.Struct, frozen=True):
    """What an endpoint uses of its service's configuration."""

    name: str
    health_path: str = "/health"
    cold_s: float = 0.0
    cold_per_s: float = 0.0


class EndpointStandin:
    """An engine, or a plain server without models.

    Parameters
    ----------
    name : str
        Id of the endpoint.
    service : str
        Name of its service.
    models : dict
        Resident models with their adapters.
    load_s : float
        Duration of a model load.
    domain, region : str
        Failure domain and its region.
    """

    def __init__(
        self,
        name: str,
        service: str,
        models: dict[str, list[str]],
        load_s: float,
        domain: str = "zone-a",
        region: str = "",
    ) -> None:
        self.name = name
        self.first_name = name
        """Id of its first process, by which tests name it after a change of the id."""
        self.service = service
        self.models = models
        self.load_s = load_s
        self.domain = domain
        self.region = region
        self.cold = ColdState()
        self.health_path = "/health"
        self.process_number = 0
        self.arrivals: list[Arrival] = []
        self.address = ""
        self.sequence = 0
        self.is_busy = False
        self.state = "ready"
        self.faults = EndpointFaults()
        self.runs: list[str] = []
        self.received_headers: list[dict[str, str]] = []
        self.arrived_s: list[float] = []
        """Arrival times of requests, on the monotonic clock of the process."""
        self._active = 0
        self.rejected_s: list[float] = []
        """When requests were rejected for want of room, on the same clock."""
        self.signaled_s: list[float] = []
        """When answers other than streams carried signals, on the same clock."""
        self.orders: list[dict] = []
        self.cancelled: list[str] = []
        self.crash_count = 0
        self.crash_runs_s: list[float] = []
        """Start times of runs that crashed it, on the clock of the process."""
        self.born_ms: int | None = None
        self.software_version: str | None = None
        """Version of its software; if set, each event of a stream names it."""
        self._silent_until_s = float("-inf")
        self.on_crash: Callable[[EndpointStandin], None] = lambda endpoint: None
        """Called when a request crashes the endpoint."""

    def make_server(self) -> web.Server:
        """Return the HTTP server."""
        return web.Server(
            self.async_handle,
            handler_cancellation=True,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            max_headers=MAX_HEAD_BYTES,
        )

    def registration(self) -> dict[str, object]:
        """Return the content of its registration."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.domain,
            "version": self.software_version or "v1",
            "slots": 8,
            "state": self.state,
            "models": self._model_list(),
            "seq": self.sequence,
            **self._cold_fields(),
        } | self._start_time_fields()

    def configure(self, service: ServiceSettings) -> None:
        """Apply the configuration of its service."""
        self.health_path = service.health_path
        self.cold.set_limit(service.cold_s, service.cold_per_s)

    def _cold_fields(self) -> dict[str, int]:
        return {"cold_left_ms": self.cold.left_ms} if self.cold.cold_s else {}

    def change_state(self, state: str) -> None:
        """Change the state; a draining endpoint becomes ready only as a new process."""
        if self.state == "draining" and state == "ready":
            self._start_new_process()
        self.state = state

    def _start_new_process(self) -> None:
        self.born_ms = time.time_ns() // 1_000_000
        self.process_number += 1
        self.cold.restart()

    def restart(self) -> None:
        """Reset the state, as a new process under the same id would."""
        self.crash_count += 1
        self._start_new_process()
        self.sequence = 0
        self.is_busy = False
        self.models = {name: [] for name in self.models}

    def fall_silent(self, duration_s: float) -> None:
        """Send nothing for a while, as a process that is stopped and continued."""
        self._silent_until_s = time.monotonic() + duration_s

    async def _async_while_silent(self) -> None:
        while (left_s := self._silent_until_s - time.monotonic()) > 0:
            await asyncio.sleep(left_s)

    def upgrade(self, software_version: str, *, keeps_models: bool = False) -> None:
        """Replace the process by one of another version, usually without models."""
        self._start_new_process()
        self.software_version = software_version
        self.sequence = 0
        self.is_busy = False
        self.models = self.models if keeps_models else {}
        self.state = "ready"

    def _start_time_fields(self) -> dict[str, int]:
        return {} if self.born_ms is None else {"born": self.born_ms}

    def _model_list(self) -> list[dict[str, object]]:
        return [
            {"name": name, "version": 1, "adapters": adapters}
            for name, adapters in self.models.items()
        ]

    def _consume_fault(self, field: str) -> bool:
        remaining = getattr(self.faults, field)
        if remaining <= 0:
            return False
        self.faults = msgspec.structs.replace(self.faults, **{field: remaining - 1})
        return True

    async def async_handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a call for a report, an order or a request."""
        await self._async_while_silent()
        if request.headers.get("X-Expect-Instance", self.name) != self.name:
            return web.Response(status=421, headers={"X-Instance-Id": self.name})
        if request.path == "/api/report":
            return json_response(self._report())
        if request.path == "/api/order":
            return await self._async_order(request)
        if request.path == self.health_path:
            headers = {"X-Instance-Id": self.name}
            if self.cold.cold_s:
                headers["X-Cold-Ms"] = str(self.cold.left_ms)
            return web.Response(headers=headers)
        self.arrived_s.append(time.monotonic())
        return await self._async_run(request, self.arrived_s[-1])

    def _record_arrival(self, request_id: str, arrived_s: float) -> None:
        """Record a request that was not answered with 421; crash if it is too many."""
        self.arrivals.append(
            Arrival(
                request_id,
                self.name,
                self.domain,
                self.region,
                self.process_number,
                arrived_s,
                self.cold.limit,
            )
        )
        if self.cold.exceeds_limit(arrived_s):
            self.on_crash(self)

    def _signal_headers(self) -> dict[str, str]:
        """Return the headers that announce a rate limit or departure in answers."""
        limit_per_s = self.faults.limit_per_s
        signals = {"Server-Limit": str(limit_per_s)} if limit_per_s else {}
        if self.faults.says_leaving:
            signals["Server-Leaving"] = "1"
        if self.faults.brittle_per_s:
            signals["Server-Brittle"] = str(self.faults.brittle_per_s)
        return signals

    def _report(self) -> dict[str, object]:
        return {
            "models": self._model_list(),
            "busy": self.is_busy,
            "seq": self.sequence,
            "at_hand": {"in_memory": [], "on_disk": []},
        } | self._start_time_fields()

    async def _async_order(self, request: web.BaseRequest) -> web.Response:
        order = json.loads(await request.read())
        if self._consume_fault("cut_orders"):
            request.transport.abort()
            return web.Response(status=503)
        if self.is_busy or order.get("expected_rev", self.sequence) != self.sequence:
            return web.Response(status=409)
        self.orders.append(order)
        self.sequence += 1
        if "adapter" in order:
            adapters = self.models[order["model"]]
            if order["op"] == "load":
                adapters.append(order["adapter"])
                return web.Response(status=202)
            adapters.remove(order["adapter"])
            return web.Response(status=200)
        self.is_busy = True
        delay_s = self.load_s if order["op"] == "load" else 0.0
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._complete_order, order)
        return web.Response(status=202)

    def _complete_order(self, order: dict) -> None:
        self.is_busy = False
        if order["op"] == "load":
            self.models.setdefault(order["model"], [])
        else:
            self.models.pop(order["model"], None)

    async def _async_run(
        self, request: web.BaseRequest, arrived_s: float
    ) -> web.StreamResponse:
        body = await request.read()
        request_id = request.headers.get("X-Request-Id", "")
        self.received_headers.append(dict(request.headers))
        model, _, adapter = request.headers.get("X-Model", "").partition("/")
        if model and adapter not in ["", *self.models.get(model, [])]:
            return web.Response(status=421)
        if model and model not in self.models:
            return web.Response(status=421)
        process_number = self.process_number
        self._record_arrival(request_id, arrived_s)
        if self.process_number != process_number:
            return web.Response(status=500)
        if self._consume_fault("refuse") or 0 < self.faults.room <= self._active:
            self.rejected_s.append(time.monotonic())
            return web.Response(
                status=503, headers=NOT_RUN_HEADERS | self._signal_headers()
            )
        if self.faults.pause_s:
            return self._reject_with_pause()
        self.runs.append(request_id)
        self._active += 1
        try:
            await asyncio.sleep(self.faults.work_s)
        finally:
            self._active -= 1
        if body == CRASH_BODY:
            self.crash_runs_s.append(time.monotonic())
            await asyncio.sleep(CRASH_DELAY_S)
            self.on_crash(self)
        headers = {"X-Request-Id": request_id, "X-Server-Seal": f"seal-{self.name}"}
        headers |= self._signal_headers()
        if self._consume_fault("foreign"):
            headers["X-Request-Id"] = "another"
        if self._consume_fault("mute"):
            await self._async_hang(request_id)
        if self._consume_fault("errors"):
            return web.Response(status=500, body=b"own error", headers=headers)
        if self._consume_fault("reset_unframed"):
            return await self._async_reset_unframed(request, headers)
        if self._consume_fault("end_unframed"):
            self._write_unframed(request, headers)
            request.transport.close()
            return web.Response()
        if self._consume_fault("crash_unframed"):
            self._write_unframed(request, headers)
            await asyncio.sleep(CRASH_DELAY_S)
            self.on_crash(self)
            return web.Response()
        if model:
            return await self._async_stream(request, headers)
        if self._signal_headers():
            self.signaled_s.append(time.monotonic())
        return web.Response(body=b"done " + body, headers=headers)

    def _reject_with_pause(self) -> web.Response:
        self.signaled_s.append(time.monotonic())
        pause = {"Retry-After": str(self.faults.pause_s)}
        return web.Response(
            status=503, headers=NOT_RUN_HEADERS | pause | self._signal_headers()
        )

    async def _async_hang(self, request_id: str) -> None:
        try:
            await asyncio.sleep(3600)
        except asyncio.CancelledError:
            self.cancelled.append(request_id)
            raise

    async def _async_reset_unframed(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Send part of an answer without a length, then reset the connection."""
        request.transport.write(_unframed_head(headers) + b"half of")
        await asyncio.sleep(0.05)
        reset_connection(request)
        return web.Response()

    def _write_unframed(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> None:
        """Send the head of an answer without a length, and its first events."""
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        end = first + self.faults.unframed_events
        if "X-Token-Count" in request.headers:
            end = min(end, _token_total(request) + 1)
        numbers = range(first, end)
        events = b"".join(map(self._event, numbers))
        request.transport.write(_unframed_head(headers) + events)

    def _event(self, number: int) -> bytes:
        event = f"id: {number}\ndata: t{number}\n"
        if self.software_version is not None:
            event += f"event: {self.software_version}\n"
        return f"{event}\n".encode()

    async def _async_stream(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        if _has_crash_part(request):
            self.crash_runs_s.append(time.monotonic())
            await asyncio.sleep(CRASH_DELAY_S)
            self.on_crash(self)
        total = _token_total(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        cut_after = self.faults.cut_after_events if self.faults.cuts else 0
        try:
            for number in range(first, total + 1):
                await asyncio.sleep(self.faults.event_interval_s)
                await self._async_while_silent()
                if cut_after and number > cut_after:
                    self._consume_fault("cuts")
                    await response.write(b"id: 9")
                    reset_connection(request)
                    return response
                await response.write(self._event(number))
        except asyncio.CancelledError:
            self.cancelled.append(request.headers.get("X-Request-Id", ""))
            raise
        await response.write_eof()
        return response
