"""The daemons that keep the record of a stream's origin. Does no I/O."""

from __future__ import annotations

from collections.abc import Mapping

from ..ids import DaemonId, FailureDomainName, RequestId
from ..systems.hashing import rendezvous_order


def order_owners(
    request: RequestId, domains: Mapping[DaemonId, FailureDomainName]
) -> list[DaemonId]:
    """Return the daemons in the order in which they keep the record of a request.

    Those of different failure domains come first, so that the first ones rarely fail
    together. All daemons with the same members compute the same order.

    Parameters
    ----------
    request : RequestId
        The attempt whose stream the record is about.
    domains : mapping
        The daemons that may keep records, with their failure domains.
    """
    first, later = [], []
    seen: set[FailureDomainName] = set()
    for daemon in rendezvous_order(request, domains):
        (later if domains[daemon] in seen else first).append(DaemonId(daemon))
        seen.add(domains[daemon])
    return first + later
