"""Routes messages between an entry daemon's components and the other daemons."""

from __future__ import annotations

from itertools import chain, repeat

import msgspec

from ..coldstart.grants import ColdGrantManager
from ..coldstart.messages import ColdGrantAnswer, ColdGrantRequest
from ..core import Application
from ..customers.messages import Loan, LoanRequest
from ..customers.quotas import QuotaManager
from ..exceptions import PeerMessageInvalid
from ..ids import DaemonId
from ..limits.messages import PermitAnswer, PermitRequest
from ..limits.permits import PermitManager
from ..origins.manager import OriginManager
from ..origins.messages import OriginMessage
from ..peers.mesh import Mesh
from ..peers.messages import Broadcast
from ..placing.lease import PlacerLease
from ..placing.placer import Placer
from ..quarantine.messages import (
    ClearedMessage,
    EndingsMessage,
    SoundPartsMessage,
)
from ..quarantine.service import Quarantine
from ..reachability.peers import PartitionedPeers
from ..relaying.retry_budget import RetryBudgetShare
from ..watching.watch import StoreWatch
from .demand import DemandTable
from .directory import Directory
from .endpoints import PLACER_TIMEOUT_S
from .messages import (
    EndpointLoad,
    EntryMessage,
    LeaseYield,
    LoadReport,
    PlacementUpdate,
    PlacerHeartbeat,
    PromptNotice,
    SnapshotRequest,
    StoreTime,
    StoreUpdate,
    decode_entry_message,
    encode_entry_message,
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
        The owning application.
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
    retry_budget : RetryBudgetShare
        Retry budget, divided among the serving daemons.
    quarantine : Quarantine
        Requests that terminate endpoints.
    quotas : QuotaManager
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
        retry_budget: RetryBudgetShare,
        quarantine: Quarantine,
        quotas: QuotaManager,
    ) -> None:
        self._core = core
        self._mesh = mesh
        self._directory = directory
        self._known = known
        self._demand = demand
        self._pending = pending
        self._retry_budget = retry_budget
        self._quarantine = quarantine
        self._quotas = quotas
        self.serving: set[DaemonId] = set()
        """Daemons that callers may use, as of the last membership change."""
        self._placer_id: DaemonId | None = None
        self._term = 0
        self.watch: StoreWatch | None = None
        self.lease: PlacerLease | None = None
        self.placer: Placer | None = None
        self.partitioned_peers = PartitionedPeers()
        self.permits: PermitManager | None = None
        self.origins: OriginManager | None = None
        self.cold_grants: ColdGrantManager | None = None

    @property
    def placer_id(self) -> DaemonId | None:
        """The daemon that sent the last message of the current placer."""
        return self._placer_id

    def send(self, message: EntryMessage) -> None:
        """Send a message to the daemons that need it, and apply it here if needed."""
        if isinstance(message, PlacementUpdate):
            self._handle_placement(message)
        elif isinstance(message, LoadReport):
            now_s = self._core.clock()
            self._demand.take(message.daemon, message.uses, now_s, message.homes)
            self._apply_streams(message)
            self._wake_placer(message)
        if (
            isinstance(message, PromptNotice)
            and len(self._mesh.direct_peers) > MAX_PROMPT_UPDATE_PEERS
        ):
            return
        if isinstance(message, PlacementUpdate | PlacerHeartbeat):
            message = msgspec.structs.replace(message, sent=self.watch.store_time())
        body, topic = encode_entry_message(message), topic_of(message)
        if isinstance(message, PlacementUpdate | LoadReport | PromptNotice):
            self._mesh.send_to(self._mesh.direct_peers, body, topic)
        elif isinstance(message, SnapshotRequest):
            self._mesh.send_to(self._choose_snapshot_peers(), body, topic)
        else:
            self._mesh.broadcast(body, topic)

    def _choose_snapshot_peers(self) -> set[DaemonId]:
        """Return a few linked daemons to ask, as each sends a complete table."""
        linked = sorted(self._mesh.linked_members())
        return set(self._core.rng.sample(linked, min(SNAPSHOT_PEERS, len(linked))))

    def reply(self, daemon: DaemonId, message: EntryMessage) -> None:
        """Send a message to one daemon."""
        self._mesh.send_to({daemon}, encode_entry_message(message), topic_of(message))

    def handle_broadcast(self, broadcast: Broadcast) -> None:
        """Handle a broadcast of another daemon."""
        self.handle_direct(broadcast.origin, broadcast.body)

    def handle_direct(self, origin: DaemonId, body: bytes) -> None:
        """Handle a message of another daemon."""
        try:
            message = decode_entry_message(body, origin)
        except PeerMessageInvalid as error:
            self._core.events.warning("news_invalid", error=error)
            return
        if isinstance(message, StoreUpdate):
            self.watch.apply_update(message, origin)
        elif isinstance(message, SnapshotRequest):
            self.watch.handle_snapshot_request(message)
        elif isinstance(message, LoadReport):
            self._handle_load(message)
        elif isinstance(message, PromptNotice):
            self._handle_prompt(message)
        elif isinstance(message, PlacementUpdate):
            self._handle_placement(message)
        elif isinstance(message, PlacerHeartbeat):
            self._note_placer(message.daemon, message.term, message.sent)
        elif isinstance(message, LeaseYield):
            self.lease.note_yield(message)
        elif isinstance(message, EndingsMessage):
            self._quarantine.apply_endings(message, origin)
        elif isinstance(message, ClearedMessage):
            self._quarantine.apply_cleared(message.fingerprint)
        elif isinstance(message, SoundPartsMessage):
            self._quarantine.apply_sound_parts(message)
        elif isinstance(message, LoanRequest):
            self._quotas.handle_request(message)
        elif isinstance(message, Loan):
            self._quotas.handle_loan(message)
        elif isinstance(message, PermitRequest):
            self.permits.handle_request(message)
        elif isinstance(message, PermitAnswer):
            self.permits.handle_answer(message)
        elif isinstance(message, OriginMessage):
            self.origins.handle_message(message)
        elif isinstance(message, ColdGrantRequest):
            self.cold_grants.handle_request(message)
        elif isinstance(message, ColdGrantAnswer):
            self.cold_grants.handle_answer(message)

    def _handle_load(self, message: LoadReport) -> None:
        now_s = self._core.clock()
        self._demand.take(message.daemon, message.uses, now_s, message.homes)
        self._known.endpoints.set_other_load(message.daemon, message.endpoints, now_s)
        self._apply_streams(message)
        all_sizes = chain(message.prompt_sizes, repeat(None))
        for (endpoint, hashes), sizes in zip(message.prefixes, all_sizes, strict=False):
            self._known.prefixes.note(endpoint, hashes, now_s, sizes)
        for limit in message.limits:
            self._known.endpoints.update_limit(limit, now_s)
        self.partitioned_peers.note(
            message.daemon, is_partitioned=message.is_partitioned, now_s=now_s
        )
        for cold in message.cold:
            self._known.cold.note_peer(cold)
        for leaving in message.leaving:
            self._known.endpoints.note_leaving(leaving.endpoint, leaving.born_ms)
        self._wake_placer(message)

    def _handle_prompt(self, message: PromptNotice) -> None:
        load = EndpointLoad(message.endpoint, 1, message.read_s, {message.ref: 1})
        self._known.endpoints.add_sent(message.daemon, load)
        read_s = message.read_s * self._known.speeds.endpoint_factor(message.endpoint)
        self._known.prefill_table.note(message.endpoint, read_s, self._core.clock())

    def _apply_streams(self, message: LoadReport) -> None:
        now_s = self._core.clock()
        for count in message.streams:
            self._known.health.note_streams(
                count.endpoint, count.streams, count.paused, now_s
            )

    def _wake_placer(self, message: LoadReport) -> None:
        self.placer.recheck_endpoints(message.unreachable)
        if any(use.waiting for use in message.uses):
            self.placer.wake()

    def _handle_placement(self, message: PlacementUpdate) -> None:
        if not self._note_placer(message.daemon, message.term, message.sent):
            return
        if message.daemon != self._core.daemon_id:
            for placement in message.endpoints:
                models = {
                    model: frozenset(names) for model, names in placement.models.items()
                }
                self._known.endpoints.update_models(
                    placement.endpoint, placement.born_ms, placement.sequence, models
                )
                self._known.endpoints.note_named(
                    placement.endpoint, placement.born_ms, self._core.clock()
                )
        self._pending.take(
            message.loads, message.term, self._core.clock(), message.queued
        )

    def _note_placer(self, daemon: DaemonId, term: int, sent: StoreTime | None) -> bool:
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
        now_s = self._core.clock()
        self._known.endpoints.last_placer_message_s = now_s
        is_own = daemon == self._core.daemon_id
        age_s = 0.0 if is_own else self.watch.max_age_s(sent)
        self._known.endpoints.note_placer(now_s - age_s)
        if daemon != self._placer_id:
            self._placer_id = daemon
            self.choose_links()
        return True

    def choose_links(self) -> None:
        """Link to the placer, and to the serving daemons if this daemon needs them."""
        serving = self._directory.serving()
        self.serving = set(serving)
        self._retry_budget.daemons = max(1, len(serving))
        own_id = self._core.daemon_id
        is_needed = own_id in serving or own_id == self._placer_id
        wanted = set(serving) if is_needed else set()
        if self._placer_id is not None:
            wanted.add(self._placer_id)
        self._mesh.direct_peers = wanted - {own_id}
