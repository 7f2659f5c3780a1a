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
MAX_RELAY_PEERS: Final = 3
"""Number of peers that are asked to relay a call, one after the other."""
MAX_RELAYED_CALLS: Final = 256
"""Number of calls that a daemon relays for its peers at the same time."""
HEADER_RELAY_TICKET: Final = "Chutelink-Relay-Ticket"
"""Names the endpoint of a call that a peer is asked to relay."""
HEADER_RELAY_UNFRAMED: Final = "Chutelink-Relay-Unframed"
"""Says of a relayed response that the endpoint's has neither a length nor chunks."""
HEADER_RELAY_RESULT: Final = "Chutelink-Relay-Result"
"""Tells an endpoint's response from that of the daemon that relays the call."""
