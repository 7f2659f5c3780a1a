"""Permits to send to endpoints that announce a limit.

Each endpoint's permits are granted by one daemon.
"""

from __future__ import annotations

from collections.abc import Callable

from ..core import Application
from ..ids import DaemonId, EndpointId, Incarnation, incarnation_of
from ..systems.hashing import rendezvous_order
from .const import PERMIT_RETRY_PAUSE_S, PERMIT_TIMEOUT_S
from .messages import PermitAnswer, PermitRequest
from .model import Permit
from .pacer import Pacer
from .pending import PendingAnswers


class PermitManager:
    """Grants permits for endpoints that this daemon paces, and requests all others.

    Each endpoint is paced by one of the serving daemons, whichever daemon its requests
    pass through. While daemons disagree on which of them serve, two daemons may pace
    the same endpoint.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    """

    def __init__(self, core: Application) -> None:
        self._core = core
        self._pacers: dict[Incarnation, Pacer] = {}
        self._pending: PendingAnswers[Permit] = PendingAnswers()
        self.serving: Callable[[], set[DaemonId]] = set
        """Returns the daemons that serve callers."""
        self.linked: Callable[[], set[DaemonId]] = set
        """Returns the daemons to which there is a link."""
        self.is_eligible: Callable[[EndpointId], bool] = lambda endpoint: True
        """Returns whether an endpoint may get requests; others get no permits."""
        self.send: Callable[[DaemonId, PermitRequest | PermitAnswer], None] = (
            lambda to, message: None
        )

    async def async_request_permit(
        self,
        endpoint: EndpointId,
        born_ms: int,
        limit_per_s: float,
        max_delay_s: float,
    ) -> Permit:
        """Request a permit that becomes valid within ``max_delay_s``."""
        own = self._core.daemon_id
        request = PermitRequest(
            own,
            self._pending.next_number(),
            endpoint,
            born_ms,
            limit_per_s,
            max_delay_s,
        )
        pacing = self.pacing_daemon(endpoint)
        if pacing == own:
            permit = self._reserve(request)
        elif pacing in self.linked():
            permit = await self._async_request_from_peer(pacing, request)
        else:
            permit = _refuse(request)
        verdict = "granted" if permit.is_granted else "denied"
        self._core.metrics.permits.inc({"verdict": verdict})
        return permit

    def pacing_daemon(self, endpoint: EndpointId) -> DaemonId:
        """Return the daemon that grants permits for an endpoint."""
        serving = self.serving() or {self._core.daemon_id}
        return DaemonId(rendezvous_order(endpoint, serving)[0])

    def handle_request(self, request: PermitRequest) -> None:
        """Answer another daemon's request for a permit.

        The permit is refused if another daemon paces the endpoint: the requesting
        daemon doesn't know yet which daemons serve, and the permits of two pacing
        daemons would add up to more than the limit.
        """
        if self.pacing_daemon(request.endpoint) == self._core.daemon_id:
            permit = self._reserve(request)
        else:
            permit = _refuse(request)
        answer = PermitAnswer(
            self._core.daemon_id, request.number, permit.is_granted, permit.delay_s
        )
        self.send(request.daemon, answer)

    def handle_answer(self, answer: PermitAnswer) -> None:
        """Handle the answer to a permit request; a late permit is discarded."""
        permit = Permit(answer.is_granted, answer.delay_s)
        self._pending.resolve(answer.number, permit)

    def _reserve(self, request: PermitRequest) -> Permit:
        if not self.is_eligible(request.endpoint):
            return _refuse(request)
        now_s = self._core.clock()
        incarnation = incarnation_of(request.endpoint, request.born_ms)
        pacer = self._pacers.get(incarnation)
        if pacer is None:
            self._remove_idle_pacers(now_s)
            pacer = self._pacers[incarnation] = Pacer(request.limit_per_s, now_s)
        return pacer.reserve(request.limit_per_s, request.max_delay_s, now_s)

    def _remove_idle_pacers(self, now_s: float) -> None:
        """Remove unused pacers; most of their endpoints no longer exist."""
        for incarnation, pacer in list(self._pacers.items()):
            if pacer.is_idle(now_s):
                del self._pacers[incarnation]

    async def _async_request_from_peer(
        self, peer: DaemonId, request: PermitRequest
    ) -> Permit:
        permit = await self._pending.async_wait(
            request.number, lambda: self.send(peer, request), PERMIT_TIMEOUT_S
        )
        if permit is not None:
            return permit
        self._core.events.warning("permit_late", endpoint=request.endpoint, peer=peer)
        return _refuse(request)


def _refuse(request: PermitRequest) -> Permit:
    """Return a refusal for a case in which the time of the next permit is unknown."""
    delay_s = request.max_delay_s + PERMIT_RETRY_PAUSE_S
    return Permit(is_granted=False, delay_s=delay_s)
