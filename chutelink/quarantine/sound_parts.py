"""Prompt parts that endpoints are known to answer on. Does no I/O."""

from __future__ import annotations

from ..ids import Fingerprint
from .const import MAX_SOUND_PARTS


class SoundParts:
    """Bounded set of prompt parts, of which the longest unused are forgotten."""

    def __init__(self) -> None:
        self._parts: dict[Fingerprint, None] = {}

    def __contains__(self, part: Fingerprint) -> bool:
        return part in self._parts

    def add(self, part: Fingerprint) -> None:
        """Add a part as the latest used one."""
        self._parts.pop(part, None)
        self._parts[part] = None
        if len(self._parts) > MAX_SOUND_PARTS:
            del self._parts[next(iter(self._parts))]
