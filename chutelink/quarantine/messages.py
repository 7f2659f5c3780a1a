"""Messages between daemons about requests that terminate endpoints."""

from __future__ import annotations

import msgspec

from ..ids import Fingerprint
from .model import Ending


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """A request that was running when an endpoint terminated.

    ``noticed_ago_s`` is the time from the break of the run to this message. ``parts``
    are the parts of its prompt that the sender does not know to be sound, in the order
    of the prompt.
    """

    fingerprint: Fingerprint
    about: str
    ending: Ending
    noticed_ago_s: float = 0.0
    parts: tuple[Fingerprint, ...] = ()


class EndingsMessage(msgspec.Struct, frozen=True, array_like=True, tag="endings"):
    """Reports the runs of one daemon during which endpoints terminated."""

    runs: list[EndedRun]


class ClearedMessage(msgspec.Struct, frozen=True, array_like=True, tag="cleared"):
    """Reports that a request ran successfully or was released by an operator."""

    fingerprint: Fingerprint


class SoundPartsMessage(msgspec.Struct, frozen=True, array_like=True, tag="sound"):
    """Reports prompt parts that endpoints answer on without terminating."""

    parts: list[Fingerprint]


QuarantineMessage = EndingsMessage | ClearedMessage | SoundPartsMessage
