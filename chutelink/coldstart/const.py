"""Constants for requests to cold endpoints."""

from __future__ import annotations

from typing import Final

COLD_GRANT_VALID_S: Final = 0.25
"""Time after asking for a grant in which the request must arrive at the endpoint."""
COLD_ARRIVAL_MARGIN_S: Final = 0.05
"""Part of the validity that is reserved for the way to the endpoint.

The endpoint counts arrivals. If a request were sent in the last moment of the validity,
it would arrive after it, and grants of two windows could arrive within one second.
"""
COLD_SEND_WITHIN_S: Final = COLD_GRANT_VALID_S - COLD_ARRIVAL_MARGIN_S
"""Time after asking for a grant in which the request must be sent."""
COLD_WINDOW_S: Final = 1.0 + COLD_GRANT_VALID_S
"""Length of the sliding window in which grants are counted.

Two requests that arrive within one second were granted within this time.
"""
COLD_RETRY_PAUSE_S: Final = 0.25
"""How long no grant is requested after a request that no daemon could grant."""
