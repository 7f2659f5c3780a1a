"""Routes messages between an entry daemon's components and the other daemons."""

from __future__ import annotations

from ..core import Application
from ..customers.news import Loan, LoanRequest
from ..customers.quotas import QuotaKeeper
from ..exceptions import PeerMessageInvalid
from ..ids import DaemonId
from ..limits.news import PermitAnswer, PermitRequest
from ..limits.permits import PermitDesk
from ..peers.mesh import Mesh
from ..peers.messages import Broadcast
from ..placing.lease import PlacerLease
from ..placing.placer import Placer
from ..quarantine.news import ClearedNews, EndingNews
from ..quarantine.service import Quarantine
from ..relaying.retries import RetryShare
from ..watching.watch import StoreWatch
from .demand import DemandTable
from .directory import Directory
from .endpoints import PLACER_TIMEOUT_S
from .news import (
    EndpointLoad,
    EntryMessage,
    LeaseYield,
    LoadReport,
    PlacementNews,
    PlacerBeacon,
    PromptNews,
    SnapshotRequest,
    StoreNews,
    decode_news,
    encode_news,
    topic_of,
)
from .pending import PendingTable
from .state import EntryState

MAX_PROMPT_UPDATE_PEERS = 16
"""Maximum number of linked daemons for which each prompt is announced when sent.

In larger fleets, each daemon sends only few of an endpoint's prompts, and the periodic
load reports suffice.
"""
SNAPSHOT_PEERS = 6
"""Number of daemons asked for a table at a time while the store is unreachable."""


class MessageRouter:
    """Dispatches received messages to the components, and sends their messages.

    Parameters
    ----------
    core : Application
        The owner.
    mesh : Mesh
        Links to the other daemons.
    directory : Directory
        Selects the daemons that serve.
    known : EntryState
        State of the endpoints.
    demand : DemandTable
        Demand for models.
    pending : PendingTable
        Loads in progress.
    retries : RetryShare
        Retry budget, divided among the serving daemons.
    quarantine : Quarantine
        Requests that terminate endpoints.
    quotas : QuotaKeeper
        Quota shares and loans.
    """

    def __init__(
        self,
        core: Application,
        mesh: Mesh,
        directory: Directory,
        known: EntryState,
        demand: DemandTable,
        pending: PendingTable,
        retries: RetryShare,
        quarantine: Quarantine,
        quotas: QuotaKeeper,
    ) -> None:
        self._core = core
        self._mesh = mesh
        self._directory = directory
        self._known = known
        self._demand = demand
        self._pending = pending
        self._retries = retries
        self._quarantine = quarantine
        self._quotas = quotas
        self.serving: set[DaemonId] = set()
        """Daemons that callers may use, as of the last membership change."""
        self._placer_id: DaemonId | None = None
        self._term = 0
        self.watch: StoreWatch | None = None
        self.lease: PlacerLease | None = None
        self.placer: Placer | None = None
        self.permits: PermitDesk | None = None

    def send(self, news: EntryMessage) -> None:
        """Send a message to the daemons that need it, and apply it here if needed."""
        if isinstance(news, PlacementNews):
            self._handle_placement(news)
        elif isinstance(news, LoadReport):
            self._demand.take(news.daemon, news.uses, self._core.clock())
            self._apply_streams(news)
            self._wake_placer(news)
        if (
            isinstance(news, PromptNews)
            and len(self._mesh.direct) > MAX_PROMPT_UPDATE_PEERS
        ):
            return
        body, topic = encode_news(news), topic_of(news)
        if isinstance(news, PlacementNews | LoadReport | PromptNews):
            self._mesh.send_to(self._mesh.direct, body, topic)
        elif isinstance(news, SnapshotRequest):
            self._mesh.send_to(self._choose_snapshot_peers(), body, topic)
        else:
            self._mesh.broadcast(body, topic)

    def _choose_snapshot_peers(self) -> set[DaemonId]:
        """Return a few linked daemons to ask, as each sends a complete table."""
        linked = sorted(self._mesh.linked_members())
        return set(self._core.rng.sample(linked, min(SNAPSHOT_PEERS, len(linked))))

    def reply(self, daemon: DaemonId, news: EntryMessage) -> None:
        """Send a message to one daemon."""
        self._mesh.send_to({daemon}, encode_news(news), topic_of(news))

    def handle_broadcast(self, broadcast: Broadcast) -> None:
        """Handle a broadcast of another daemon."""
        self.handle_direct(broadcast.origin, broadcast.body)

    def handle_direct(self, origin: DaemonId, body: bytes) -> None:
        """Handle a message of another daemon."""
        try:
            news = decode_news(body, origin)
        except PeerMessageInvalid as error:
            self._core.events.warning("news_invalid", error=error)
            return
        if isinstance(news, StoreNews):
            self.watch.take_news(news, origin)
        elif isinstance(news, SnapshotRequest):
            self.watch.take_request(news)
        elif isinstance(news, LoadReport):
            self._handle_load(news)
        elif isinstance(news, PromptNews):
            self._handle_prompt(news)
        elif isinstance(news, PlacementNews):
            self._handle_placement(news)
        elif isinstance(news, PlacerBeacon):
            self._note_placer(news.daemon, news.term)
        elif isinstance(news, LeaseYield):
            self.lease.take_yield(news)
        elif isinstance(news, EndingNews):
            self._quarantine.take_endings(news, origin)
        elif isinstance(news, ClearedNews):
            self._quarantine.clear(news.fingerprint, "told")
        elif isinstance(news, LoanRequest):
            self._quotas.take_request(news)
        elif isinstance(news, Loan):
            self._quotas.take_loan(news)
        elif isinstance(news, PermitRequest):
            self.permits.take_request(news)
        elif isinstance(news, PermitAnswer):
            self.permits.take_answer(news)

    def _handle_load(self, news: LoadReport) -> None:
        now_s = self._core.clock()
        self._demand.take(news.daemon, news.uses, now_s)
        self._known.endpoints.set_other_load(news.daemon, news.endpoints, now_s)
        self._apply_streams(news)
        for endpoint, chain in news.prefixes:
            self._known.prefixes.note(endpoint, chain, now_s)
        for limit in news.limits:
            self._known.endpoints.take_limit(limit, now_s)
        for leaving in news.leaving:
            self._known.endpoints.note_leaving(leaving.endpoint, leaving.born_ms)
        self._wake_placer(news)

    def _handle_prompt(self, news: PromptNews) -> None:
        load = EndpointLoad(news.endpoint, 1, news.read_s, {news.ref: 1})
        self._known.endpoints.take_sent(news.daemon, load)
        read_s = news.read_s * self._known.speeds.endpoint_factor(news.endpoint)
        self._known.reading.note(news.endpoint, read_s, self._core.clock())

    def _apply_streams(self, news: LoadReport) -> None:
        now_s = self._core.clock()
        for count in news.streams:
            self._known.health.note_streams(
                count.endpoint, count.streams, count.paused, now_s
            )

    def _wake_placer(self, news: LoadReport) -> None:
        self.placer.doubt(news.unreachable)
        if any(use.waiting for use in news.uses):
            self.placer.wake()

    def _handle_placement(self, news: PlacementNews) -> None:
        if not self._note_placer(news.daemon, news.term):
            return
        if news.daemon != self._core.daemon_id:
            for placement in news.endpoints:
                models = {
                    model: frozenset(names) for model, names in placement.models.items()
                }
                self._known.endpoints.take_models(
                    placement.endpoint, placement.born_ms, placement.sequence, models
                )
        self._pending.take(news.loads, news.term, self._core.clock(), news.queued)

    def _note_placer(self, daemon: DaemonId, term: int) -> bool:
        """Record a message from a placer; return whether it is the current one.

        Messages of a previous placer may arrive late. A placer with a lower term is
        accepted once the current one has been silent for longer than a lease lasts.
        """
        silent_s = self._core.clock() - self._known.endpoints.last_placer_message_s
        if term < self._term and silent_s < PLACER_TIMEOUT_S:
            self._core.events.info("placer_outdated", placer=daemon, term=term)
            return False
        self._term = term
        self.lease.note_holder(daemon, term)
        self._known.endpoints.last_placer_message_s = self._core.clock()
        if daemon != self._placer_id:
            self._placer_id = daemon
            self.choose_links()
        return True

    def choose_links(self) -> None:
        """Link to the placer, and to the serving daemons if this daemon needs them."""
        serving = self._directory.serving()
        self.serving = set(serving)
        self._retries.daemons = max(1, len(serving))
        own_id = self._core.daemon_id
        is_needed = own_id in serving or own_id == self._placer_id
        wanted = set(serving) if is_needed else set()
        if self._placer_id is not None:
            wanted.add(self._placer_id)
        self._mesh.direct = wanted - {own_id}
