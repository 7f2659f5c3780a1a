"""Limits and timings of the detection of partitions from endpoints."""

from __future__ import annotations

from typing import Final

PROBE_BATCH_SIZE: Final = 3
"""Number of endpoints that are probed at the same time."""
MAX_PROBED_ENDPOINTS: Final = 9
"""Number of endpoints that must all be unreachable for a partition.

Several endpoints may crash at the same time.
"""
RECOVERY_PROBE_PERIOD_S: Final = 0.25
"""Interval at which a partitioned daemon probes endpoints."""
PEER_REPORT_VALIDITY_S: Final = 2.0
"""How long a daemon's report of its partition is valid; one is sent every 0.2 s."""
