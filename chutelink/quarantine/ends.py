"""Name each end of an endpoint once, whoever saw it and however often told. Pure."""

from __future__ import annotations

import msgspec

from ..ids import EndpointId
from .const import SAME_END_S
from .model import Ending


class _Known(msgspec.Struct):
    """The latest end that is known of an endpoint, and since when."""

    ending: Ending
    known_s: float


class EndLog:
    """The latest end of each endpoint, as this daemon knows it.

    An endpoint may be back under its id and end again before its registration names
    the new process; a run that was sent after an end was known is of a later process.
    """

    def __init__(self) -> None:
        self._known: dict[EndpointId, _Known] = {}

    def name(
        self, endpoint: EndpointId, born_ms: int, sent_s: float, now_s: float
    ) -> Ending:
        """Return the end by which a run was broken off that was sent at a time."""
        known = self._known.get(endpoint)
        if known is None:
            return self._note(Ending(endpoint, born_ms), now_s)
        if sent_s <= known.known_s or now_s - known.known_s < SAME_END_S:
            return known.ending
        before = known.ending
        number = before.number + 1 if before.born_ms == born_ms else 1
        return self._note(Ending(endpoint, born_ms, number), now_s)

    def take(self, ending: Ending, now_s: float) -> Ending:
        """Return under which name an end is known here that another daemon saw.

        The other one may know of more or fewer starts of the endpoint.
        """
        known = self._known.get(ending.endpoint)
        if known is None:
            return self._note(ending, now_s)
        if now_s - known.known_s < SAME_END_S:
            return known.ending
        is_later = ending.order > known.ending.order
        return self._note(ending, now_s) if is_later else ending

    def forget(self, endpoint: EndpointId) -> None:
        """Drop an endpoint that is gone."""
        self._known.pop(endpoint, None)

    def _note(self, ending: Ending, now_s: float) -> Ending:
        self._known[ending.endpoint] = _Known(ending, now_s)
        return ending
