"""Messages from directors to gateways about endpoints, encoded as CBOR."""

from __future__ import annotations

import cbor2
import msgspec

from ..exceptions import PeerMessageInvalid
from ..ids import EndpointName

TOPIC_LOADED = "endpoint_loaded"
_DECODE_ERRORS = (cbor2.CBORDecodeError, ValueError, TypeError, LookupError)


class EndpointLoaded(msgspec.Struct, frozen=True, array_like=True):
    """Announces that an endpoint has loaded an artifact, as its next report will show.

    It is sent before the replica that this artifact replaces is unloaded elsewhere.
    """

    endpoint: EndpointName


def encode_loaded(message: EndpointLoaded) -> bytes:
    """Encode a message as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(message))


def decode_loaded(body: bytes, peer: str) -> EndpointLoaded:
    """Decode a message.

    Raises
    ------
    PeerMessageInvalid
        The body is not a valid message of this type.
    """
    try:
        return msgspec.convert(cbor2.loads(body), EndpointLoaded)
    except _DECODE_ERRORS as error:
        step = "endpoint_loaded.decode"
        raise PeerMessageInvalid(str(error), step=step, peer=peer) from error
