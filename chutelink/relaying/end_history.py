"""Which services end their streams with the connection, learned from checked ends."""

from __future__ import annotations

from ..ids import EndpointId, ServiceName

MIN_ENDS = 8
"""Unframed ends in a service after which others like them are reliable."""
MEMORY_S = 60.0
"""How long a framed or an early end speaks against unframed ends."""


class EndHistory:
    """Decides which unframed ends count that can't be checked.

    A service whose streams have framing doesn't end a whole one without it. A service
    that has no other end for its streams would be of no use if only checked ends
    counted, as the retry budget covers a part of its requests.
    """

    def __init__(self) -> None:
        self._confirmed: dict[ServiceName, int] = {}
        self._not_resumable: dict[ServiceName, int] = {}
        self._framed_s: dict[ServiceName, float] = {}
        self._early_s: dict[EndpointId, float] = {}

    def note_framed(self, service: ServiceName, now_s: float) -> None:
        """Record a stream whose framing stated its end."""
        self._framed_s[service] = now_s
        self._not_resumable[service] = 0

    def note_confirmed(self, service: ServiceName) -> None:
        """Record an unframed end that only a resumption has confirmed."""
        self._confirmed[service] = self._confirmed.get(service, 0) + 1

    def note_not_resumable(self, service: ServiceName, *, is_short: bool) -> None:
        """Record an unframed end that no resumption can confirm.

        Where streams reach their token limits, those that are short are unusual.
        """
        count = self._not_resumable.get(service, 0)
        self._not_resumable[service] = count + 1 if is_short else 0

    def note_early(self, endpoint: EndpointId, now_s: float) -> None:
        """Record an unframed end after which a resumption brought further events."""
        self._early_s = {
            name: at_s
            for name, at_s in self._early_s.items()
            if now_s - at_s <= MEMORY_S
        }
        self._early_s[endpoint] = now_s

    def is_reliable(
        self,
        service: ServiceName,
        endpoint: EndpointId,
        now_s: float,
        *,
        is_resumable: bool,
    ) -> bool:
        """Return whether an unframed end of an endpoint counts without a check.

        Parameters
        ----------
        service : ServiceName
            The service of the endpoint.
        endpoint : EndpointId
            The endpoint that has ended a response.
        now_s : float
            The time, on the clock of the recorded ends.
        is_resumable : bool
            Whether the stream could be resumed, so that others like it are checked.
        """
        ends = self._confirmed.get(service, 0)
        if not is_resumable:
            ends = max(ends, self._not_resumable.get(service, 0))
        never_s = float("-inf")
        framed_s = self._framed_s.get(service, never_s)
        early_s = self._early_s.get(endpoint, never_s)
        return ends >= MIN_ENDS and now_s - max(framed_s, early_s) > MEMORY_S
