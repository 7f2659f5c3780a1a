"""Permits to send to endpoints that name a limit, granted by one daemon for each."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from ..core import Application
from ..ids import DaemonId, EndpointId, Incarnation, incarnation_of
from ..systems.hashing import rendezvous_order
from .const import PERMIT_WAIT_S, SILENT_PAUSE_S
from .model import Permit
from .news import PermitAnswer, PermitRequest
from .pacer import Pacer


class PermitDesk:
    """Grants permits for the endpoints that this daemon paces.

    Each endpoint is paced by one daemon of those that serve, whichever daemon its
    requests come through. While daemons disagree on who serves, two may take it for
    theirs.

    Parameters
    ----------
    core : Application
        The owner.
    """

    def __init__(self, core: Application) -> None:
        self._core = core
        self._pacers: dict[Incarnation, Pacer] = {}
        self._numbers = itertools.count(1)
        self._questions: dict[int, asyncio.Future[Permit]] = {}
        self.serving: Callable[[], set[DaemonId]] = set
        """Returns the daemons that callers may use."""
        self.linked: Callable[[], set[DaemonId]] = set
        """Returns the daemons that can be asked."""
        self.send: Callable[[DaemonId, PermitRequest | PermitAnswer], None] = (
            lambda to, news: None
        )

    async def async_ask(
        self,
        endpoint: EndpointId,
        born_ms: int,
        limit_per_s: float,
        max_delay_s: float,
    ) -> Permit:
        """Return a permit that is valid after ``max_delay_s`` at the latest."""
        own = self._core.daemon_id
        request = PermitRequest(
            own, next(self._numbers), endpoint, born_ms, limit_per_s, max_delay_s
        )
        pacing = self.pacing_daemon(endpoint)
        if pacing == own:
            permit = self._reserve(request)
        elif pacing in self.linked():
            permit = await self._async_ask_peer(pacing, request)
        else:
            permit = _refuse(request)
        verdict = "granted" if permit.is_granted else "denied"
        self._core.metrics.permits.inc({"verdict": verdict})
        return permit

    def pacing_daemon(self, endpoint: EndpointId) -> DaemonId:
        """Return the daemon that grants permits for an endpoint."""
        serving = self.serving() or {self._core.daemon_id}
        return DaemonId(rendezvous_order(endpoint, serving)[0])

    def take_request(self, request: PermitRequest) -> None:
        """Answer another daemon's request for a permit.

        Refuses for endpoints that another daemon paces: the requesting daemon does not
        know yet which daemons serve, and the permits of two would add up.
        """
        if self.pacing_daemon(request.endpoint) == self._core.daemon_id:
            permit = self._reserve(request)
        else:
            permit = _refuse(request)
        answer = PermitAnswer(
            self._core.daemon_id, request.number, permit.is_granted, permit.delay_s
        )
        self.send(request.daemon, answer)

    def take_answer(self, answer: PermitAnswer) -> None:
        """Take in an answer; a permit that comes late is lost."""
        question = self._questions.get(answer.number)
        if question is not None and not question.done():
            question.set_result(Permit(answer.is_granted, answer.delay_s))

    def _reserve(self, request: PermitRequest) -> Permit:
        now_s = self._core.clock()
        incarnation = incarnation_of(request.endpoint, request.born_ms)
        pacer = self._pacers.get(incarnation)
        if pacer is None:
            self._drop_idle(now_s)
            pacer = self._pacers[incarnation] = Pacer(request.limit_per_s, now_s)
        return pacer.reserve(request.limit_per_s, request.max_delay_s, now_s)

    def _drop_idle(self, now_s: float) -> None:
        """Drop what nobody sends to; most of these endpoints are gone."""
        for incarnation, pacer in list(self._pacers.items()):
            if pacer.is_idle(now_s):
                del self._pacers[incarnation]

    async def _async_ask_peer(self, peer: DaemonId, request: PermitRequest) -> Permit:
        question = asyncio.get_running_loop().create_future()
        self._questions[request.number] = question
        self.send(peer, request)
        try:
            async with asyncio.timeout(PERMIT_WAIT_S):
                return await question
        except TimeoutError:
            self._core.events.warning(
                "permit_late", endpoint=request.endpoint, peer=peer
            )
            return _refuse(request)
        finally:
            del self._questions[request.number]


def _refuse(request: PermitRequest) -> Permit:
    """Return a refusal for when the time of the next permit is not known."""
    delay_s = request.max_delay_s + SILENT_PAUSE_S
    return Permit(is_granted=False, delay_s=delay_s)
