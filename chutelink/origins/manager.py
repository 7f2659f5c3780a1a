"""Keeps records of which software version began a stream, and finds them again.

While a service's endpoints run several software versions, each daemon sends the records
of its streams to a few other daemons, and asks those for the record of a stream that
began elsewhere.
"""

from __future__ import annotations

import asyncio
import itertools
import math
from collections import defaultdict
from collections.abc import Callable, Iterable

import msgspec

from ..core import Application
from ..ids import DaemonId, FailureDomainName, RequestId, ServiceName, SoftwareVersion
from .const import (
    HISTORY_PEERS,
    HISTORY_TIMEOUT_S,
    LINKING_S,
    LOOKUP_PEERS,
    LOOKUP_POLL_S,
    LOOKUP_SETTLE_S,
    LOOKUP_TIMEOUT_S,
    MAX_KNOWLEDGE_AGE_S,
    MAX_ORIGINS_PER_MESSAGE,
    OWNERS,
    RETENTION_S,
)
from .messages import (
    BegunStreams,
    HistoryAnswer,
    HistoryRequest,
    OriginAnswer,
    OriginMessage,
    OriginQuery,
    OriginUpdate,
    StreamOrigin,
)
from .owners import order_owners
from .stored import StoredHistory
from .table import OriginTable
from .unfinished import StreamRecorder, UnfinishedStreams
from .versions import VersionHistory


class Lookup(msgspec.Struct):
    """Search for a record, and its result.

    ``versions`` are those that this daemon and the peers that answered have seen;
    ``is_complete`` says that streams may have no others. ``changed`` is set by each
    answer.
    """

    origin: StreamOrigin | None
    versions: set[SoftwareVersion | None]
    is_complete: bool
    asked: set[DaemonId] = msgspec.field(default_factory=set)
    answered: set[DaemonId] = msgspec.field(default_factory=set)
    changed: asyncio.Event = msgspec.field(default_factory=asyncio.Event)

    @property
    def has_version(self) -> bool:
        """Whether the version that began the stream is known."""
        return self.origin is not None and self.origin.version is not None

    def is_answered_by(self, linked: set[DaemonId]) -> bool:
        """Return whether most asked daemons and all that are linked have answered."""
        has_most = 2 * (len(self.answered) + 1) > len(self.asked) + 1
        is_complete = self.asked & linked <= self.answered
        return bool(self.answered) and has_most and is_complete


class OriginManager:
    """Records the software versions that begin streams.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    versions : VersionHistory
        Versions of the endpoints.
    """

    def __init__(self, core: Application, versions: VersionHistory) -> None:
        self._core = core
        self.versions = versions
        versions.on_mixed = self._share_all
        self._table = OriginTable()
        self._unfinished = UnfinishedStreams()
        self.recorder = StreamRecorder()
        self._created_s = core.clock()
        self._complete_since_s = self._created_s
        """Time from which on this daemon has seen all versions that serve."""
        self._stored_read_s = float("-inf")
        self._is_restored = False
        self._query_numbers = itertools.count(1)
        self._lookups: dict[int, Lookup] = {}
        self._has_history = False
        self._stored = StoredHistory.UNREAD
        self._history_asked: set[DaemonId] = set()
        self._history_answered: set[DaemonId] = set()
        self._long_running: set[DaemonId] = set()
        """Those that answered and have run since all streams that can be resumed."""
        self._outdated_histories: set[DaemonId] = set()
        """Daemons whose complete history is as old as their registrations."""
        self._served_s: dict[DaemonId, float] = {}
        """When each daemon was last known to serve callers."""
        self.domains: Callable[[], dict[DaemonId, FailureDomainName]] = dict
        """Returns the daemons that serve callers, with their failure domains."""
        self.linked: Callable[[], set[DaemonId]] = set
        """Returns the daemons to which there is a link."""
        self.is_alone: Callable[[], bool] = lambda: True
        """Returns whether there are no other daemons, also none out of reach."""
        self.registrations_age_s: Callable[[], float] = lambda: 0.0
        """Returns the age of the registrations, infinite before the first read."""
        self.send: Callable[[DaemonId, OriginMessage], None] = lambda to, message: None

    @property
    def has_full_history(self) -> bool:
        """Whether this daemon knows the versions that left before its start.

        This includes those that came and left while it was out of step.
        """
        if self._has_history or self.is_older_than_streams:
            return True
        return self.is_first_fleet and self.is_alone()

    @property
    def is_older_than_streams(self) -> bool:
        """Whether it has seen all versions since each stream began that is resumed now.

        Streams can be resumed for ``RETENTION_S``.
        """
        return self._core.clock() - self._complete_since_s > RETENTION_S

    @property
    def is_first_fleet(self) -> bool:
        """Whether no daemon has served before those that run now."""
        return self._stored is StoredHistory.ABSENT

    @property
    def lacks_stored(self) -> bool:
        """Whether what daemons have stored has to be read (again)."""
        is_read = self._stored_read_s >= self._complete_since_s
        return not is_read and not self.has_full_history

    def note_missed(self, *, is_restored: bool) -> None:
        """Record that versions may have come and left without this daemon's knowledge.

        What is stored is read again, and peers are asked again. After a restoration of
        the store, all of them may lack a complete history. Then what they know together
        is all there is, as an endpoint that was lost with the store had been read by
        those that sent requests to it.
        """
        if self.is_alone():
            # No other daemon has sent requests.
            return
        self._complete_since_s = self._core.clock()
        self._has_history = False
        self._stored = StoredHistory.OUTDATED
        self._is_restored = is_restored
        self._history_asked.clear()
        self._history_answered.clear()
        self._outdated_histories.clear()
        self._long_running.clear()
        self._core.events.info("versions_missed", is_restored=is_restored)

    def apply_stored(
        self,
        state: StoredHistory,
        versions: dict[ServiceName, list[SoftwareVersion]],
        streams: Iterable[StreamOrigin] = (),
        *,
        read_s: float | None = None,
    ) -> None:
        """Keep what daemons have stored, also those that have ended.

        ``read_s`` is the time at which the read began, now by default.
        """
        self._add_recent(versions)
        now_s = self._core.clock()
        streams = list(streams)
        for origin in streams:
            self._table.put(origin, now_s, is_own=False, has_begun=True)
        self._add_versions(streams)
        self._stored_read_s = now_s if read_s is None else read_s
        if self._stored_read_s >= self._complete_since_s:
            self._stored = state
            self._has_history |= state is StoredHistory.CURRENT
        for lookup in self._lookups.values():
            lookup.changed.set()

    def _add_versions(self, origins: Iterable[StreamOrigin]) -> None:
        """Keep the versions of streams, also if no registration names them."""
        for service, version in _versions_of(origins):
            self.versions.add_recent(service, version)

    def _add_recent(self, versions: dict[ServiceName, list[SoftwareVersion]]) -> None:
        for service, names in versions.items():
            for version in names:
                self.versions.add_recent(service, version)

    @property
    def _may_link(self) -> bool:
        """Whether this daemon has just started, and may still get links."""
        return self._core.clock() - self._created_s < LINKING_S

    def request_history(self) -> None:
        """Ask peers for the versions that served before this daemon's start.

        In a fleet that serves for the first time, none has a complete history, and what
        they know together is all there is.
        """
        if self.has_full_history:
            return
        expected = self._history_asked & self.linked()
        waited_s = self._core.clock() - self._complete_since_s
        has_all_answers = expected <= self._history_answered and waited_s >= LINKING_S
        has_waited = has_all_answers or waited_s > HISTORY_TIMEOUT_S
        is_all = has_all_answers if self._is_restored else has_waited
        if (self.is_first_fleet or self._is_restored) and expected and is_all:
            self._has_history = True
        lacks_complete_peer = bool(expected) and expected <= self._history_answered
        may_join = lacks_complete_peer and self._up_s > RETENTION_S
        if may_join and self._is_joint_history():
            self._has_history = True
        missing = sorted(self.linked() - self._history_asked)
        # After an outage of the store, none of the others may have a complete history.
        asks_all = self._is_restored or may_join
        limit = len(self.linked()) if asks_all else HISTORY_PEERS
        for peer in missing[: max(0, limit - len(self._history_asked))]:
            self._history_asked.add(peer)
            self.send(peer, HistoryRequest(self._core.daemon_id))

    def _is_joint_history(self) -> bool:
        """Return whether the daemons that have answered know all versions together.

        Each version was known to the daemon that sent requests to it.
        """
        others = self._served_s.keys() - {self._core.daemon_id}
        return others <= self._long_running

    @property
    def _up_s(self) -> float:
        """How long this process has run."""
        return self._core.clock() - self._created_s

    def _handle_history_request(self, request: HistoryRequest) -> None:
        """Answer a daemon that has started."""
        versions = self.versions.all_versions(self._core.clock())
        answer = HistoryAnswer(
            self._core.daemon_id,
            versions,
            self.has_full_history,
            sorted(self._served_s),
            min(self.registrations_age_s(), RETENTION_S),
            self._up_s,
        )
        self.send(request.daemon, answer)

    def _handle_history(self, answer: HistoryAnswer) -> None:
        """Keep the versions and the daemons that another daemon has seen."""
        self._add_recent(answer.versions)
        self.note_served(answer.served)
        if answer.daemon not in self._history_asked:
            # It was asked before this daemon may have missed a version.
            return
        self._history_answered.add(answer.daemon)
        if answer.up_s > RETENTION_S:
            self._long_running.add(answer.daemon)
        if not answer.is_complete:
            return
        if answer.age_s <= MAX_KNOWLEDGE_AGE_S:
            self._has_history = True
            return
        # The versions that came since then are known to others, if any are.
        self._outdated_histories.add(answer.daemon)
        self._has_history |= self._is_majority(self._outdated_histories)

    def note(self, origin: StreamOrigin) -> None:
        """Record the version that began a stream."""
        now_s = self._core.clock()
        self._table.put(origin, now_s, is_own=True)
        if self.versions.is_mixed(origin.service, now_s):
            for owner in self._owners(origin.request):
                self.send(owner, OriginUpdate([origin]))

    def note_begun(self, origin: StreamOrigin) -> None:
        """Record that a stream has brought an event, or goes on after a resumption."""
        self.note(origin)
        self._unfinished.begin(origin, self._core.clock())

    def note_completed(self, request: RequestId) -> None:
        """Record that a caller has received all of a stream."""
        self._unfinished.end(request)

    def mixed_streams(self) -> dict[RequestId, StreamOrigin]:
        """Return the unfinished streams of services with several versions."""
        now_s = self._core.clock()
        mixed = self.versions.mixed_services(now_s)
        if not mixed:
            return {}
        self._unfinished.expire(now_s)
        return self._unfinished.select(mixed)

    def _owners(self, request: RequestId) -> list[DaemonId]:
        """Return the linked owners of a record."""
        linked = self.linked()
        peers = [peer for peer in self._candidates(request) if peer in linked]
        return peers[:OWNERS]

    def _candidates(self, request: RequestId) -> list[DaemonId]:
        domains = dict(self.domains())
        domains.pop(self._core.daemon_id, None)
        return order_owners(request, domains)

    def _share_all(self, service: ServiceName) -> None:
        """Send all records to their owners, once a service gets another version."""
        by_owner: dict[DaemonId, list[StreamOrigin]] = defaultdict(list)
        for origin in self._table.own(service):
            for owner in self._owners(origin.request):
                by_owner[owner].append(origin)
        for owner, origins in by_owner.items():
            for start in range(0, len(origins), MAX_ORIGINS_PER_MESSAGE):
                batch = origins[start : start + MAX_ORIGINS_PER_MESSAGE]
                self.send(owner, OriginUpdate(batch))

    def handle_message(self, message: OriginMessage) -> None:
        """Handle a message of another daemon."""
        if isinstance(message, OriginUpdate):
            self._handle_update(message)
        elif isinstance(message, OriginQuery):
            self._handle_query(message)
        elif isinstance(message, OriginAnswer):
            self._handle_answer(message)
        elif isinstance(message, HistoryRequest):
            self._handle_history_request(message)
        elif isinstance(message, HistoryAnswer):
            self._handle_history(message)
        elif isinstance(message, BegunStreams):
            self.recorder.apply(message, self._core.clock())
            self._add_versions(message.begun)

    def _handle_update(self, update: OriginUpdate) -> None:
        """Keep the records of another daemon."""
        now_s = self._core.clock()
        for origin in update.origins:
            self._table.put(origin, now_s, is_own=False)
        for service, version in _versions_of(update.origins):
            self.versions.note_used(service, version)

    def _handle_query(self, query: OriginQuery) -> None:
        """Answer another daemon's search."""
        now_s = self._core.clock()
        answer = OriginAnswer(
            self._core.daemon_id,
            query.number,
            self._table.get(query.request, query.service, now_s),
            list(self.versions.versions(query.service, now_s)),
            self.has_full_history and self._is_up_to_date,
        )
        self.send(query.daemon, answer)

    def _handle_answer(self, answer: OriginAnswer) -> None:
        """Handle an answer; a late one is discarded."""
        lookup = self._lookups.get(answer.number)
        if lookup is None:
            return
        lookup.answered.add(answer.daemon)
        lookup.versions |= set(answer.versions)
        lookup.is_complete |= answer.is_complete
        if _is_newer(answer.origin, lookup.origin):
            lookup.origin = answer.origin
        for service, version in _versions_of([answer.origin] if answer.origin else []):
            self.versions.note_used(service, version)
        lookup.changed.set()

    @property
    def _is_up_to_date(self) -> bool:
        """Whether the registrations are recent enough to speak for other daemons."""
        return self.registrations_age_s() <= MAX_KNOWLEDGE_AGE_S

    def _is_majority(self, daemons: set[DaemonId]) -> bool:
        """Return whether these daemons and this one are most of those that served."""
        counted = self._served_s.keys() & (daemons | {self._core.daemon_id})
        return 2 * len(counted) > len(self._served_s)

    def find_known(self, request: RequestId | None, service: ServiceName) -> Lookup:
        """Return what this daemon itself knows of an attempt and the versions.

        Others may have a newer record than one that is held for them: it counts as one
        of the versions only.
        """
        now_s = self._core.clock()
        request = RequestId("") if request is None else request
        origin = self._table.get(request, service, now_s)
        versions = self.versions.versions(service, now_s)
        if origin is not None and not self._table.is_settled(request):
            versions |= {origin.version}
            origin = None
        return Lookup(origin, versions, self.has_full_history)

    def has_answers(self, lookup: Lookup) -> bool:
        """Return whether no daemon may know of another version, as the others say.

        A few daemons that are cut off together don't know what the others have begun.
        """
        linked = self.linked()
        return self._is_majority(linked) and lookup.is_answered_by(linked)

    def note_served(self, daemons: Iterable[DaemonId]) -> None:
        """Record that daemons serve, or served recently as far as is known."""
        now_s = self._core.clock()
        self._served_s |= dict.fromkeys(daemons, now_s)

    def update(self) -> None:
        """Note which daemons serve, and ask for a history that is missing."""
        now_s = self._core.clock()
        if math.isinf(self.registrations_age_s()):
            # Nothing has been read yet, so versions may have come and left.
            self._complete_since_s = now_s
        self.note_served(self.domains())
        # Others have begun no stream that can be resumed now.
        self._served_s = {
            daemon: served_s
            for daemon, served_s in self._served_s.items()
            if now_s - served_s <= RETENTION_S
        }
        self.request_history()

    async def async_find(
        self, request: RequestId | None, service: ServiceName
    ) -> Lookup:
        """Search for the record of an attempt, here and at its owners.

        Without an attempt, only the versions that the owners have seen are collected.
        """
        request = RequestId("") if request is None else request
        lookup = self.find_known(request, service)
        if lookup.origin is not None:
            return lookup
        number = next(self._query_numbers)
        self._lookups[number] = lookup
        query = OriginQuery(self._core.daemon_id, number, request, service)
        try:
            async with asyncio.timeout(LOOKUP_TIMEOUT_S):
                await self._async_ask(query, lookup)
        except TimeoutError:
            self._core.events.info(
                "origin_lookup_late",
                request=request,
                asked=len(lookup.asked),
                answered=len(lookup.answered),
            )
        finally:
            del self._lookups[number]
        # A record may be held here, or have arrived during the lookup.
        held = self._table.get(request, service, self._core.clock())
        if _is_newer(held, lookup.origin):
            lookup.origin = held
        lookup.versions |= self.versions.versions(service, self._core.clock())
        has_complete_peer = lookup.is_complete and lookup.is_answered_by(self.linked())
        lookup.is_complete = self.has_full_history or has_complete_peer
        return lookup

    def _has_record(self, query: OriginQuery) -> bool:
        """Return whether a record has arrived since a lookup began."""
        now_s = self._core.clock()
        return self._table.get(query.request, query.service, now_s) is not None

    async def _async_ask(self, query: OriginQuery, lookup: Lookup) -> None:
        """Ask the owners, and wait until all have answered.

        Once there is a record, the other answers are awaited for a short time only.
        """
        settled_s = float("inf")
        while self._core.clock() < settled_s:
            if self._table.is_settled(query.request):
                return
            has_found = lookup.origin is not None or self._has_record(query)
            if has_found:
                settled_s = min(settled_s, self._core.clock() + LOOKUP_SETTLE_S)
            peers = set(self._candidates(query.request)[:LOOKUP_PEERS])
            for peer in peers & self.linked() - lookup.asked:
                lookup.asked.add(peer)
                self.send(peer, query)
            is_loading = self._stored is StoredHistory.UNREAD
            if has_found and lookup.asked & self.linked() <= lookup.answered:
                return
            if peers and lookup.answered >= peers and not is_loading:
                lookup.is_complete |= self.is_first_fleet
                return
            has_settled = not self._may_link and not is_loading
            if has_settled and lookup.answered >= lookup.asked:
                return
            lookup.changed.clear()
            try:
                async with asyncio.timeout(LOOKUP_POLL_S):
                    await lookup.changed.wait()
            except TimeoutError:
                continue


def _versions_of(
    origins: Iterable[StreamOrigin],
) -> set[tuple[ServiceName, SoftwareVersion]]:
    """Return the services and known versions of streams."""
    return {
        (origin.service, origin.version)
        for origin in origins
        if origin.version is not None
    }


def _is_newer(origin: StreamOrigin | None, known: StreamOrigin | None) -> bool:
    if origin is None:
        return False
    return known is None or origin.sends > known.sends
