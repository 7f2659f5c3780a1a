"""What directors tell gateways of endpoints, as CBOR."""

from __future__ import annotations

import cbor2
import msgspec

from ..exceptions import PeerMessageInvalid
from ..ids import EndpointName

TOPIC_LOADED = "endpoint_loaded"
_DECODE_FAILURES = (cbor2.CBORDecodeError, ValueError, TypeError, LookupError)


class EndpointLoaded(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint has loaded something: its next report shows it.

    Told before what it replaces is unloaded elsewhere.
    """

    endpoint: EndpointName


def encode_loaded(news: EndpointLoaded) -> bytes:
    """Return a message as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(news))


def decode_loaded(body: bytes, peer: str) -> EndpointLoaded:
    """Return the message.

    Raises
    ------
    PeerMessageInvalid
        The bytes are not such a message.
    """
    try:
        return msgspec.convert(cbor2.loads(body), EndpointLoaded)
    except _DECODE_FAILURES as error:
        step = "endpoint_loaded.decode"
        raise PeerMessageInvalid(str(error), step=step, peer=peer) from error
