"""Selects the peers that relay calls to endpoints which this daemon can't reach."""

from __future__ import annotations

from collections.abc import Callable

from ..core import Application
from ..entry.endpoints import Endpoint
from ..exceptions import EndpointUnreachable
from ..ids import DaemonId, RegionName
from ..regions.region_map import RegionMap
from ..tables.members import Member, MemberState, MemberTable
from .const import MAX_RELAY_PEERS
from .monitor import PartitionMonitor
from .peers import PartitionedPeers
from .ticket import RelayTicket, TicketSigner

MS_PER_S = 1000.0


class RelayClient:
    """Decides whether a call is sent directly, or which peers may relay it.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    partition : PartitionMonitor
        The endpoints that this daemon can't reach.
    members : MemberTable
        Membership of the daemons.
    partitioned_peers : PartitionedPeers
        Daemons that can't relay calls.
    linked : callable
        Returns the daemons to which there is a link.
    regions : RegionMap, optional
        The regions of failure domains.
    """

    def __init__(
        self,
        core: Application,
        partition: PartitionMonitor,
        members: MemberTable,
        partitioned_peers: PartitionedPeers,
        linked: Callable[[], set[DaemonId]],
        regions: RegionMap | None = None,
    ) -> None:
        self._core = core
        self._partition = partition
        self._members = members
        self._partitioned_peers = partitioned_peers
        self._linked = linked
        self._regions = regions or RegionMap()

    def is_direct(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is called directly."""
        return not self._partition.is_lost(endpoint.record.address)

    async def async_peers(
        self,
        endpoint: Endpoint,
        failure: EndpointUnreachable | None,
        home_regions: frozenset[RegionName] | None = None,
    ) -> list[Member]:
        """Return the peers that may relay a call, in the order in which to ask them.

        The peers get the call's body, so they must be in one of its home regions.

        ``failure`` is that of the direct call, if there was one. Unless this daemon is
        partitioned, only a refused connection is worth the time to ask a peer: the
        endpoint has most likely crashed, and most calls can be sent to another one.
        """
        is_lost = await self._partition.async_check(endpoint.record.address)
        if is_lost or failure is None:
            return self._candidates(home_regions)[:MAX_RELAY_PEERS]
        return self._candidates(home_regions)[:1] if failure.is_refused else []

    def _candidates(self, home_regions: frozenset[RegionName] | None) -> list[Member]:
        """Return the peers that may reach endpoints, those of this domain first."""
        now_s = self._core.clock()
        linked = self._linked()
        candidates = [
            member
            for member in self._members.rows.values()
            if member.id in linked
            and member.state is MemberState.ALIVE
            and self._regions.is_inside(member.failure_domain, home_regions)
            and not self._partitioned_peers.is_partitioned(member.id, now_s)
        ]
        self._core.rng.shuffle(candidates)
        domain = self._core.daemon.failure_domain
        candidates.sort(key=lambda member: member.failure_domain != domain)
        return candidates

    def make_ticket(
        self,
        endpoint: Endpoint,
        peer: Member,
        method: str,
        target: str,
        *,
        is_repeatable: bool,
        send_left_s: float | None = None,
        home_regions: frozenset[RegionName] | None = None,
    ) -> str:
        """Return the ticket for a call that a peer is asked to relay.

        ``send_left_s`` is how long the call's grant is valid, if it needs one.
        """
        record = endpoint.record
        send_within_ms = None
        if send_left_s is not None:
            send_within_ms = max(0, int(send_left_s * MS_PER_S))
        ticket = RelayTicket(
            record.id, record.born_ms, is_repeatable, send_within_ms, home_regions
        )
        signer = TicketSigner(self._core.daemon.peer_key, peer.boot_id)
        return signer.encode(ticket, method, target)

    def note_relayed(self, endpoint: Endpoint, peer: Member, request_id: str) -> None:
        """Record that a peer has relayed a call, so that it reaches the endpoint."""
        self._partition.note_lost_path(endpoint.record.address)
        self._core.metrics.relayed_calls.inc({"role": "sender", "result": "relayed"})
        self._core.events.record(
            "call_relayed",
            request=request_id,
            endpoint=endpoint.record.id,
            peer=peer.id,
        )

    def note_not_relayed(
        self, endpoint: Endpoint, peer: Member, error: EndpointUnreachable
    ) -> None:
        """Record that a peer could not relay a call."""
        self._core.metrics.relayed_calls.inc({"role": "sender", "result": "not_sent"})
        self._core.events.record(
            "call_not_relayed",
            endpoint=endpoint.record.id,
            peer=peer.id,
            error=error,
        )
