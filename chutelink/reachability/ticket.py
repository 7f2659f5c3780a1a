"""Tickets with which daemons authenticate the calls that their peers relay."""

from __future__ import annotations

import hashlib
import hmac
from enum import Enum
from urllib.parse import quote, unquote

import msgspec

from ..ids import BootId, EndpointId, RegionName

MAC_BYTES = 16
_FIELDS = (4, 5, 6)
"""Numbers of fields: the last ones before the hash are omitted if they are None.

Daemons of earlier releases reject longer tickets, and don't send the call.
"""
_NO_TIME_LIMIT = "-"


class RelayResult(Enum):
    """What became of a call that a peer was asked to relay."""

    RELAYED = "relayed"
    """The response is the endpoint's."""
    NOT_SENT = "not_sent"
    """Nothing was sent to the endpoint."""
    BROKEN = "broken"
    """The endpoint may have received the call, but did not respond."""


class RelayTicket(msgspec.Struct, frozen=True):
    """The process of an endpoint that is to receive a relayed call.

    ``is_repeatable`` is whether the call may use a pooled connection;
    ``send_within_ms`` is how long after its arrival the peer may send the call, None if
    that is not limited; ``home_regions`` are the regions in which it may be handled,
    None for any.
    """

    endpoint: EndpointId
    born_ms: int
    is_repeatable: bool
    send_within_ms: int | None = None
    home_regions: frozenset[RegionName] | None = None


class TicketSigner:
    """Signs tickets for one process of a daemon, and verifies them there.

    The boot id of that process is known to daemons only. A ticket for a process that
    has been replaced is invalid.

    Parameters
    ----------
    peer_key : str
        Key that the daemons share.
    boot_id : BootId
        Process of the daemon that relays the call.
    """

    def __init__(self, peer_key: str, boot_id: BootId) -> None:
        self._key = hashlib.blake2b(f"{peer_key}\n{boot_id}".encode()).digest()

    def encode(self, ticket: RelayTicket, method: str, target: str) -> str:
        """Return the header value of a ticket for a request line."""
        endpoint = quote(ticket.endpoint, safe="")
        text = f"{endpoint} {ticket.born_ms} {int(ticket.is_repeatable)}"
        if ticket.send_within_ms is not None:
            text = f"{text} {ticket.send_within_ms}"
        elif ticket.home_regions is not None:
            text = f"{text} {_NO_TIME_LIMIT}"
        if ticket.home_regions is not None:
            names = (quote(name, safe="") for name in sorted(ticket.home_regions))
            text += f" {','.join(names)}"
        return f"{text} {self._sign(text, method, target)}"

    def decode(self, value: str, method: str, target: str) -> RelayTicket | None:
        """Return the ticket in a header value, or None if it is not valid."""
        parts = value.split(" ")
        if len(parts) not in _FIELDS:
            return None
        text, mac = " ".join(parts[:-1]), parts[-1]
        expected = self._sign(text, method, target)
        if not hmac.compare_digest(expected.encode(), mac.encode()):
            return None
        endpoint, born_ms, is_repeatable, *options, _ = parts
        send_within_ms = homes = None
        if options and options[0] != _NO_TIME_LIMIT:
            send_within_ms = int(options[0])
        if len(options) > 1:
            homes = frozenset(
                RegionName(unquote(name)) for name in options[1].split(",") if name
            )
        return RelayTicket(
            EndpointId(unquote(endpoint)),
            int(born_ms),
            is_repeatable == "1",
            send_within_ms,
            homes,
        )

    def _sign(self, text: str, method: str, target: str) -> str:
        data = f"{text}\n{method}\n{target}".encode("utf-8", "surrogateescape")
        return hashlib.blake2b(data, digest_size=MAC_BYTES, key=self._key).hexdigest()
