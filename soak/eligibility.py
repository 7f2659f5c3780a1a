"""Checks that requests reach only endpoints that may take them."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping

import msgspec

from standins.cold_state import RATE_WINDOW_S, Arrival
from standins.prepared import Evacuation

CONTACT_GRACE_S = 3.0
"""Time after a loss of contact until bounds apply to a daemon again."""
HOME_PREFIXES = ("again-", "probe-")
"""Beginnings of the ids of requests for routes that may have home regions."""


class ContactLoss(msgspec.Struct, frozen=True):
    """A period in which a daemon, or all, may have lost contact with the store."""

    began_s: float
    ended_s: float
    daemon: int | None = None

    def excuses(self, daemon: int | None, time_s: float) -> bool:
        """Return whether a daemon may not know what the store holds.

        A request whose daemon is unknown may come from any of them.
        """
        is_other = None not in (daemon, self.daemon) and daemon != self.daemon
        until_s = self.ended_s + CONTACT_GRACE_S
        return not is_other and self.began_s <= time_s <= until_s


class Record(msgspec.Struct, frozen=True):
    """What the stand-in recorded."""

    arrivals: list[Arrival]
    evacuations: list[Evacuation]


def check_evacuations(
    record: Record,
    daemons: Mapping[str, int],
    losses: Iterable[ContactLoss],
    bound_s: float,
) -> list[str]:
    """Report requests that reached evacuated domains after the bound.

    Parameters
    ----------
    record : Record
        Arrivals and evacuations.
    daemons : Mapping
        The daemon that each request was sent to.
    losses : iterable of ContactLoss
        Periods for which daemons are excused.
    bound_s : float
        Time from the acknowledgement of an evacuation until it is in force.
    """
    return [
        f"{_describe(arrival, daemons)}, evacuated: acknowledged at "
        f"{evacuation.acked_s:.3f}, removed at {_end_s(evacuation):.3f}"
        for evacuation in record.evacuations
        for arrival in record.arrivals
        if arrival.domain == evacuation.domain
        and evacuation.acked_s + bound_s < arrival.arrived_s < _end_s(evacuation)
        and not any(
            loss.excuses(daemons.get(arrival.request), arrival.arrived_s)
            for loss in losses
        )
    ]


def _end_s(evacuation: Evacuation) -> float:
    return math.inf if evacuation.removed_s is None else evacuation.removed_s


def check_cold_limits(
    arrivals: Iterable[Arrival], daemons: Mapping[str, int]
) -> list[str]:
    """Report processes that got more requests in a second than they tolerate cold."""
    by_process = defaultdict(list)
    for arrival in sorted(arrivals, key=lambda arrival: arrival.arrived_s):
        if arrival.cold_limit:
            by_process[arrival.endpoint, arrival.process].append(arrival)
    violations = []
    for cold in by_process.values():
        first = 0
        for last, arrival in enumerate(cold):
            while arrival.arrived_s - cold[first].arrived_s >= RATE_WINDOW_S:
                first += 1
            count = last - first + 1
            if count > arrival.cold_limit:
                violations.append(
                    f"{_describe(arrival, daemons)}, cold, as number {count} since "
                    f"{cold[first].arrived_s:.3f}, {arrival.cold_limit} allowed"
                )
                break
    return violations


def check_home_regions(
    arrivals: Iterable[Arrival], daemons: Mapping[str, int], regions: Iterable[str]
) -> list[str]:
    """Report requests with home regions that reached endpoints elsewhere."""
    return [
        f"{_describe(arrival, daemons)}, in region {arrival.region}"
        for arrival in arrivals
        if arrival.request.startswith(HOME_PREFIXES) and arrival.region not in regions
    ]


def _describe(arrival: Arrival, daemons: Mapping[str, int]) -> str:
    daemon = daemons.get(arrival.request)
    sender = "unknown daemon" if daemon is None else f"vm-{daemon}"
    return (
        f"{arrival.request} from {sender} reached {arrival.endpoint} (process "
        f"{arrival.process}, {arrival.domain}) at {arrival.arrived_s:.3f}"
    )
