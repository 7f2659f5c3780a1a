"""What a request requires of endpoints, and why an endpoint is ineligible."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..ids import RegionName

Homes = frozenset[RegionName] | None
"""Regions in which a request may be served, None for any region."""


class IneligibleReason(Enum):
    """Why a request may not be sent to an endpoint.

    The values are used in metrics and logs.
    """

    EVACUATED = "evacuated"
    """Its failure domain is evacuated."""
    OUTSIDE_HOME_REGIONS = "outside_home_regions"
    """It is in a region in which the request may not be served."""


class Requirements(msgspec.Struct, frozen=True):
    """What a request requires of an endpoint, apart from its model and version.

    It may be served in ``home_regions``.
    """

    home_regions: Homes = None


NO_REQUIREMENTS = Requirements()
"""Requirements of orders and of requests that may be served anywhere."""
