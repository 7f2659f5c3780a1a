"""Decoding of the rows ``op/evacuate/DOMAIN``, which evacuate failure domains."""

from __future__ import annotations

from typing import Any

from ..const import TABLE_CONFIG
from ..ids import FailureDomainName
from ..store import UNREADABLE

PREFIX_EVACUATION = f"{TABLE_CONFIG}/evacuate/"


def decode_evacuated_domain(key: str) -> FailureDomainName | None:
    """Return the failure domain that a row of this key evacuates, if any."""
    if not key.startswith(PREFIX_EVACUATION):
        return None
    return FailureDomainName(key[len(PREFIX_EVACUATION) :]) or None


def compact_evacuation(value: Any) -> Any:
    """Return an empty object for any object, since the key alone has a meaning.

    Otherwise, daemons would store and exchange whatever else operators write there.
    """
    is_readable = isinstance(value, dict) and value != UNREADABLE
    return {} if is_readable else UNREADABLE
