"""Paths, headers and order messages of the protocol between daemons and engines."""

from __future__ import annotations

from enum import Enum
from typing import Final

import msgspec

from ..ids import FencingNumber
from ..tables.ledger import OrderAction

PATH_ORDERS: Final = "/v1/orders"
PATH_REPORT: Final = "/v1/report"
PATH_HEALTH: Final = "/healthz"
HEADER_VERSION: Final = "Chutelink-Version"
HEADER_RESUME_FROM: Final = "Chutelink-Resume-From"
HEADER_PRIORITY: Final = "Chutelink-Priority"
HEADER_NOT_RUN: Final = "Chutelink-Not-Run"


class Order(msgspec.Struct, frozen=True):
    """An order to an engine; ``memory_mb`` is per accelerator."""

    fence: FencingNumber
    action: OrderAction
    name: str = ""
    version: str = ""
    accelerators: tuple[int, ...] = ()
    memory_mb: int = 0


class OrderResult(Enum):
    """Result of an order at an engine."""

    ACCEPTED = "accepted"
    STALE = "stale"
    REFUSED = "refused"


class OrderAnswer(msgspec.Struct, frozen=True):
    """Response of an engine to an order."""

    result: OrderResult
    detail: str = ""
