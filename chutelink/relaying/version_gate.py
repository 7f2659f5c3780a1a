"""Keep each stream at endpoints of the software version that began it.

What two software versions write doesn't fit together, and endpoints don't check it.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from enum import Enum

from ..core import Application
from ..entry.endpoints import Endpoint, EndpointTable
from ..gateway.refusals import Refusal, unresumable
from ..ids import SoftwareVersion
from ..origins.const import LOOKUP_TIMEOUT_S, MAX_KNOWLEDGE_AGE_S
from ..origins.manager import Lookup, OriginManager
from ..origins.messages import StreamOrigin
from ..watching.table_state import TableFreshness
from .exchange import Exchange


class Resumption(Enum):
    """How a caller's resumption of a stream was decided."""

    KNOWN = "known"
    """The software version that began the stream is known."""
    SINGLE = "single"
    """It is unknown, but only one version can have begun the stream."""
    UNKNOWN = "unknown"
    """It is unknown, and several versions may have begun the stream."""
    UNINFORMED = "uninformed"
    """This daemon may not know the processes of the endpoints."""

    @property
    def is_refused(self) -> bool:
        """Whether the resumption has to be refused."""
        return self in (Resumption.UNKNOWN, Resumption.UNINFORMED)


class Confirmation(Enum):
    """What shows that a daemon knows all versions that may have begun a stream."""

    REGISTRATIONS = "registrations"
    """They are known as of a time at which the stream had begun already."""
    PEERS = "peers"
    """Most daemons are linked, and all that were asked have answered."""
    NONE = "none"


def decide_resumption(
    origin: StreamOrigin | None,
    versions: set[SoftwareVersion | None],
    *,
    is_complete: bool,
    is_informed: bool,
) -> Resumption:
    """Return how to handle a resumption.

    Parameters
    ----------
    origin : StreamOrigin or None
        Record of the attempt that began the stream.
    versions : set
        Versions that may have begun a stream that can still be resumed.
    is_complete : bool
        Whether these are all such versions.
    is_informed : bool
        Whether this daemon knows the processes of the endpoints.
    """
    if not is_informed:
        return Resumption.UNINFORMED
    if origin is not None and origin.version is not None:
        return Resumption.KNOWN
    if not is_complete or len(versions) > 1 or None in versions:
        return Resumption.UNKNOWN
    return Resumption.SINGLE


class VersionGate:
    """Binds streams to the software version that began them.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    table : EndpointTable
        The endpoints.
    origins : OriginManager
        Records of which version began a stream.
    knowledge : callable
        Returns the age of the list of endpoints, None if it is always up to date.
    refresh : callable
        Reads the list of endpoints; called with the time in seconds, on the daemon's
        clock, as of which it has to be known, and the time in seconds that this may
        take.
    """

    def __init__(
        self,
        core: Application,
        table: EndpointTable,
        origins: OriginManager,
        knowledge: Callable[[], TableFreshness | None],
        refresh: Callable[[float, float], Awaitable[None]],
    ) -> None:
        self._core = core
        self._table = table
        self._origins = origins
        self._knowledge = knowledge
        self._refresh = refresh

    async def async_admit(self, exchange: Exchange) -> None:
        """Bind a resumed stream to its software version.

        Raises
        ------
        Refusal
            The stream can't be resumed, as its version is unknown.
        """
        if not exchange.meta.resume_after:
            return
        lookup, confirmation = await self._async_find(exchange)
        decision = decide_resumption(
            lookup.origin,
            lookup.versions,
            is_complete=lookup.is_complete and confirmation is not Confirmation.NONE,
            is_informed=self._is_informed(),
        )
        self._note_decision(exchange, lookup, confirmation, decision)
        if decision.is_refused:
            raise unresumable("its software version is unknown")
        if decision is Resumption.KNOWN:
            exchange.bind_version(lookup.origin.version)
            self._origins.note_begun(lookup.origin)
        elif lookup.versions:
            exchange.bind_version(next(iter(lookup.versions)))

    async def _async_find(self, exchange: Exchange) -> tuple[Lookup, Confirmation]:
        """Search for the version that began a stream, here and at other daemons.

        An endpoint is registered before any daemon sends requests to it. So if the
        registrations are known as of the arrival of the resumption and have always
        had the same version, no other one can have begun the stream.
        """
        service, resumes = exchange.service.name, exchange.meta.resumes
        known = self._origins.find_known(resumes, service)
        needs_proof = not known.has_version and len(known.versions) <= 1
        if needs_proof or not self._is_informed():
            await self._refresh(exchange.started_s, LOOKUP_TIMEOUT_S)
            known = self._origins.find_known(resumes, service)
        is_current = self._is_current(exchange.started_s)
        confirmation = Confirmation.REGISTRATIONS if is_current else Confirmation.NONE
        is_single = len(known.versions) == 1 and known.is_complete and is_current
        if known.origin is not None or is_single:
            return known, confirmation
        lookup = await self._origins.async_find(resumes, service)
        has_answers = self._origins.has_answers(lookup) and not self._has_unread()
        if not is_current and has_answers:
            confirmation = Confirmation.PEERS
        return lookup, confirmation

    def _is_current(self, since_s: float) -> bool:
        """Return whether the registrations are known as of a time or a later one."""
        knowledge = self._knowledge()
        return knowledge is None or knowledge.age_s <= self._core.clock() - since_s

    def _has_unread(self) -> bool:
        """Return whether there is an endpoint whose registration was never read.

        Once the registrations are known as of the time at which the placer named it,
        its version is known, or it has left and the history is incomplete.
        """
        return not self._is_current(self._table.unread_named_s)

    def _is_informed(self) -> bool:
        """Return whether this daemon knows the processes of the endpoints.

        Endpoints may restart with another version under the same id. Registrations and
        the placer's messages show it before the new process has a model; a daemon that
        is cut off from both may take the new process for the old one. Both count as of
        the time at which they were read or sent.
        """
        knowledge = self._knowledge()
        if knowledge is None or knowledge.age_s <= MAX_KNOWLEDGE_AGE_S:
            return True
        silent_s = self._core.clock() - self._table.placer_known_as_of_s
        return silent_s <= MAX_KNOWLEDGE_AGE_S

    def _note_decision(
        self,
        exchange: Exchange,
        lookup: Lookup,
        confirmation: Confirmation,
        decision: Resumption,
    ) -> None:
        self._core.metrics.stream_resumptions.inc({"decision": decision.value})
        origin, knowledge = lookup.origin, self._knowledge()
        self._core.events.record(
            "resumption_decided",
            request=exchange.meta.id,
            resumes=exchange.meta.resumes or "",
            decision=decision.value,
            software_version=origin.version if origin is not None else "",
            versions=",".join(sorted(map(str, lookup.versions))),
            asked=len(lookup.asked),
            answered=len(lookup.answered),
            is_complete=lookup.is_complete,
            confirmed_by=confirmation.value,
            endpoints_age_s=0.0 if knowledge is None else knowledge.age_s,
            took_s=self._core.clock() - exchange.started_s,
        )

    def note_event(self, exchange: Exchange, row: Endpoint) -> None:
        """Bind a stream to the version of the endpoint that brings its first event.

        Called before the caller gets the event. There is no earlier record: an attempt
        without an event may be followed by one at another version.
        """
        if exchange.is_version_bound:
            return
        version = self._version_of(row)
        if version is None:
            self._origins.note(self._make_origin(exchange, version))
        elif exchange.is_repeatable:
            self._origins.note_begun(self._make_origin(exchange, version))
        exchange.bind_version(version)

    def note_completed(self, exchange: Exchange) -> None:
        """Record that a stream was sent to its caller completely."""
        began_by = exchange.meta.resumes if exchange.meta.resume_after else None
        self._origins.note_completed(began_by or exchange.meta.id)

    def _version_of(self, row: Endpoint) -> SoftwareVersion | None:
        """Return the version of the process that a request is sent to, if it is known.

        Once the process has been replaced, the new one may answer.
        """
        if self._table.is_replaced(row.record) or not self._is_informed():
            return None
        return row.record.software_version

    def _make_origin(
        self, exchange: Exchange, version: SoftwareVersion | None
    ) -> StreamOrigin:
        return StreamOrigin(
            exchange.meta.id, exchange.service.name, version, len(exchange.tried)
        )

    def matching_rows(self, exchange: Exchange, rows: list[Endpoint]) -> list[Endpoint]:
        """Return the endpoints that may continue the stream of a request."""
        if not exchange.is_version_bound:
            return rows
        if not self._knows_version(exchange):
            return []
        version = exchange.software_version
        return [row for row in rows if row.record.software_version == version]

    def _knows_version(self, exchange: Exchange) -> bool:
        """Return whether the version of a bound stream and the processes are known."""
        return exchange.software_version is not None and self._is_informed()

    def check(self, exchange: Exchange, rows: list[Endpoint]) -> None:
        """Refuse a stream that no endpoint of its version can continue soon.

        A model that other versions have is not loaded for one stream; one that no
        endpoint has may be loaded at one of the stream's version.

        Parameters
        ----------
        exchange : Exchange
            The request.
        rows : list of Endpoint
            The usable endpoints of its service.

        Raises
        ------
        Refusal
            There is no such endpoint.
        """
        matching = self.matching_rows(exchange, rows)
        if len(matching) == len(rows):
            return
        if not self._knows_version(exchange):
            raise self._refuse(exchange, "its software version is unknown")
        if not matching:
            raise self._refuse(exchange, "no endpoint runs its software version")
        meta = exchange.meta
        if any(row.holds(meta.model, meta.adapter) for row in matching):
            return
        if any(row.holds(meta.model, meta.adapter) for row in rows):
            raise self._refuse(exchange, "only other software versions have its model")

    def _refuse(self, exchange: Exchange, reason: str) -> Refusal:
        self._core.metrics.stream_resumptions.inc({"decision": "no_endpoint"})
        self._core.events.record(
            "resumption_refused",
            request=exchange.meta.id,
            resumes=exchange.meta.resumes or "",
            software_version=exchange.software_version,
            reason=reason,
        )
        return unresumable(reason)
