"""Relays the calls of peers that can't reach an endpoint themselves."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import contextmanager

import aiohttp
from aiohttp import web
from multidict import CIMultiDictProxy

from ..const import HEADER_REQUEST_ID
from ..core import Application
from ..eligibility.checker import EligibilityChecker
from ..eligibility.model import IneligibleReason, Requirements
from ..entry.endpoints import Endpoint, EndpointTable
from ..entry.headers import HeaderCodec
from ..exceptions import (
    ConnectionBroken,
    EndpointFailed,
    EndpointIneligible,
    EndpointUnreachable,
    GrantExpired,
)
from ..gateway.refusals import Refusal
from ..learning.health import HealthTable
from ..memory import MemoryBudget, MemoryLease
from ..quarantine.fingerprint import RequestContent
from ..quarantine.model import BrokenRun
from ..quarantine.service import Quarantine
from ..regions.region_map import RegionMap
from ..relaying.response_end import ends_with_connection
from ..relaying.upstream import EndpointCall, Upstream, forwarded_headers
from ..serving.body import async_read_body
from .const import (
    HEADER_RELAY_RESULT,
    HEADER_RELAY_TICKET,
    HEADER_RELAY_UNFRAMED,
    MAX_RELAYED_CALLS,
)
from .monitor import PartitionMonitor
from .ticket import RelayResult, RelayTicket, TicketSigner

MS_PER_S = 1000.0
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503


class RelayHandler:
    """Sends the calls of peers to endpoints, directly and once.

    The peer has chosen the endpoint, and has checked quotas, limits and the quarantine.
    Responses are passed on as they arrive.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    table : EndpointTable
        The endpoints.
    health : HealthTable
        Recent failures of endpoints.
    partition : PartitionMonitor
        Whether this daemon reaches endpoints.
    quarantine : Quarantine
        Notified of runs that break.
    header_codec : HeaderCodec
        Decodes the headers of calls.
    upstream : Upstream
        Connections to endpoints.
    eligibility : EligibilityChecker
        Decides which endpoints may get calls.
    regions : RegionMap, optional
        The regions of failure domains.
    """

    def __init__(
        self,
        core: Application,
        table: EndpointTable,
        health: HealthTable,
        partition: PartitionMonitor,
        quarantine: Quarantine,
        header_codec: HeaderCodec,
        upstream: Upstream,
        eligibility: EligibilityChecker | None = None,
        regions: RegionMap | None = None,
    ) -> None:
        self._core = core
        self._table = table
        self._health = health
        self._partition = partition
        self._quarantine = quarantine
        self._header_codec = header_codec
        self._upstream = upstream
        self._eligibility = eligibility or EligibilityChecker()
        self._regions = regions or RegionMap()
        self._signer = TicketSigner(core.daemon.peer_key, core.boot_id)
        self._in_flight = 0
        self.body_memory: MemoryBudget | None = None
        """Memory that request bodies share, None if it isn't limited."""

    @staticmethod
    def handles(request: web.BaseRequest) -> bool:
        """Return whether a request is a peer's call."""
        return HEADER_RELAY_TICKET in request.headers

    async def async_handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Relay a call, or respond that it was not sent."""
        target = request.raw_path
        ticket = self._signer.decode(
            request.headers[HEADER_RELAY_TICKET], request.method, target
        )
        arrived_s = self._core.clock()
        row = None if ticket is None else self._find_endpoint(ticket)
        if row is None or not self._has_capacity():
            return self._end(request, RelayResult.NOT_SENT)
        lease = None if self.body_memory is None else self.body_memory.open()
        try:
            with self._count_in_flight():
                body = await self._async_body(request, lease)
                if body is None:
                    return self._end(request, RelayResult.NOT_SENT)
                call = self._make_call(request, row, ticket, body, arrived_s)
                return await self._async_relay(request, row, call)
        finally:
            if lease is not None:
                lease.close()

    @staticmethod
    async def _async_body(
        request: web.BaseRequest, lease: MemoryLease | None
    ) -> bytes | None:
        """Return the complete body, None if there is no memory for it."""
        try:
            return await async_read_body(request, None, lease)
        except Refusal:
            return None

    def _make_call(
        self,
        request: web.BaseRequest,
        row: Endpoint,
        ticket: RelayTicket,
        body: bytes,
        arrived_s: float,
    ) -> EndpointCall:
        requirements = Requirements(ticket.home_regions)
        return EndpointCall(
            request.method,
            request.raw_path,
            request.headers.get("Host", ""),
            forwarded_headers(request.headers),
            body,
            ticket.is_repeatable,
            lambda: self._may_send(row, requirements),
            self._send_left_s(ticket, arrived_s),
        )

    def _find_endpoint(self, ticket: RelayTicket) -> Endpoint | None:
        """Return the endpoint, if it is the process that the peer has chosen."""
        row = self._table.rows.get(ticket.endpoint)
        if row is None or row.record.born_ms != ticket.born_ms:
            return None
        now_s = self._core.clock()
        reason = self._eligibility.reason(row, Requirements(ticket.home_regions), now_s)
        own_domain = self._core.daemon.failure_domain
        if not self._regions.is_inside(own_domain, ticket.home_regions):
            # The sender knows another region for this daemon, or it has none.
            reason = IneligibleReason.OUTSIDE_HOME_REGIONS
        if reason is not None:
            self._core.events.record(
                "relay_ineligible", endpoint=ticket.endpoint, reason=reason.value
            )
            return None
        is_reachable = self._health.is_reachable(ticket.endpoint, now_s)
        return row if is_reachable and row.is_usable(now_s) else None

    def _may_send(self, row: Endpoint, requirements: Requirements) -> bool:
        return self._eligibility.may_send(row, requirements, self._core.clock())

    def _send_left_s(
        self, ticket: RelayTicket, arrived_s: float
    ) -> Callable[[], float] | None:
        """Return a function for the time left to send a call, None if not limited."""
        if ticket.send_within_ms is None:
            return None
        send_before_s = arrived_s + ticket.send_within_ms / MS_PER_S
        return lambda: send_before_s - self._core.clock()

    def _has_capacity(self) -> bool:
        if self._core.is_draining or self._partition.is_partitioned:
            return False
        return self._in_flight < MAX_RELAYED_CALLS

    @contextmanager
    def _count_in_flight(self):
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1

    async def _async_relay(
        self, request: web.BaseRequest, row: Endpoint, call: EndpointCall
    ) -> web.StreamResponse:
        sent_s = self._core.clock()
        response: web.StreamResponse | None = None
        try:
            async with self._upstream.async_open_direct(row, call) as answer:
                response = _make_response(answer)
                await response.prepare(request)
                while chunk := await answer.content.readany():
                    await response.write(chunk)
                await self._upstream.ends.async_verify(
                    row, answer, is_repeatable=call.is_repeatable
                )
        except EndpointIneligible:
            return self._end(request, RelayResult.NOT_SENT)
        except EndpointUnreachable:
            self._health.note_unreachable(row.record.id, self._core.clock())
            self._partition.note_failure(row.record.address)
            return self._end(request, RelayResult.NOT_SENT)
        except GrantExpired:
            return self._end(request, RelayResult.NOT_SENT)
        except EndpointFailed as error:
            if isinstance(error, ConnectionBroken) and _is_connected(request):
                # Otherwise the peer has closed its connection, not the endpoint.
                await self._async_note_broken(row, call, error, sent_s)
            if response is None:
                return self._end(request, RelayResult.BROKEN)
            self._note_result(request, RelayResult.BROKEN)
            if _is_connected(request):
                # The response must not appear complete.
                request.transport.abort()
            return response
        self._note_result(request, RelayResult.RELAYED)
        await response.write_eof()
        return response

    async def _async_note_broken(
        self,
        row: Endpoint,
        call: EndpointCall,
        error: ConnectionBroken,
        sent_s: float,
    ) -> None:
        """Report a broken run to the quarantine; the peer can't probe the endpoint."""
        record = row.record
        if not self._table.is_registered(record):
            return
        content = RequestContent(call.method, call.host, call.target, call.body)
        run = BrokenRun(
            self._quarantine.fingerprint(content),
            f"{call.method} {call.host}{call.target}",
            record.id,
            record.born_ms,
            record.address,
            sent_s,
            error.is_new_connection,
            self._quarantine.part_fingerprints(self._shared_parts(call)),
        )
        await self._quarantine.async_note_broken(run)

    def _shared_parts(self, call: EndpointCall) -> tuple[str, ...]:
        meta = self._header_codec.decode_request(CIMultiDictProxy(call.headers))
        return () if meta is None else meta.shared_parts

    def _end(self, request: web.BaseRequest, result: RelayResult) -> web.StreamResponse:
        """Return this daemon's own response."""
        self._note_result(request, result)
        is_not_sent = result is RelayResult.NOT_SENT
        return web.Response(
            status=HTTP_UNAVAILABLE if is_not_sent else HTTP_BAD_GATEWAY,
            headers={HEADER_RELAY_RESULT: result.value},
        )

    def _note_result(self, request: web.BaseRequest, result: RelayResult) -> None:
        self._core.metrics.relayed_calls.inc({"role": "relay", "result": result.value})
        self._core.events.record(
            "call_handled_for_peer",
            request=request.headers.get(HEADER_REQUEST_ID, ""),
            peer=request.remote,
            result=result.value,
        )


def _is_connected(request: web.BaseRequest) -> bool:
    return request.transport is not None and not request.transport.is_closing()


def _make_response(answer: aiohttp.ClientResponse) -> web.StreamResponse:
    """Return a response with the status and headers of the endpoint's."""
    headers = forwarded_headers(answer.headers)
    headers[HEADER_RELAY_RESULT] = RelayResult.RELAYED.value
    if ends_with_connection(answer):
        headers[HEADER_RELAY_UNFRAMED] = "1"
    response = web.StreamResponse(status=answer.status, headers=headers)
    response.content_length = answer.content_length
    return response
