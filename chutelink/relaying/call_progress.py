"""How far a call to an endpoint has got."""

from __future__ import annotations

import msgspec


class CallProgress(msgspec.Struct):
    """How far a call has got.

    ``is_sent`` is False until a connection to the endpoint or to a peer is open.
    ``is_reused`` is whether that connection is a pooled one, None until then.
    """

    is_sent: bool = False
    is_reused: bool | None = None

    def note_connected(self, *, is_reused: bool) -> None:
        """Record that the connection is open, right before the call is written."""
        self.is_sent = True
        self.is_reused = is_reused
