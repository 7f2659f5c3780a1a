"""Names and limits shared by all programs."""

from __future__ import annotations

from typing import Final

HEADER_IDEMPOTENCY_KEY: Final = "Idempotency-Key"
HEADER_NON_IDEMPOTENT: Final = "Chutelink-Non-Idempotent"
HEADER_ORDER_KEY: Final = "Chutelink-Order-Key"
HEADER_OUTCOME: Final = "Chutelink-Outcome"
HEADER_REQUEST_ID: Final = "X-Request-Id"
HEADER_RETRY_AFTER: Final = "Retry-After"

CONTENT_TYPE_PROBLEM: Final = "application/problem+json"
CONTENT_TYPE_STREAM: Final = "text/event-stream"

KEY_CONFIG_HEAD: Final = "control/config-head"
KEY_DRAINS: Final = "control/drains"
PREFIX_APPLY: Final = "applies/"
PREFIX_CLAIM: Final = "claims/"
PREFIX_CONTROL: Final = "control/"
PREFIX_DAEMON: Final = "daemons/"
PREFIX_LEASE: Final = "leases/"
PREFIX_LEASE_TERM: Final = "lease-terms/"
PREFIX_STATE: Final = "state/"
PREFIX_HEALTH: Final = "state/health/"
PREFIX_LEDGER: Final = "state/ledger/"
PREFIX_VERSION: Final = "versions/"

TABLE_CONFIG: Final = "config"
TABLE_ENDPOINTS: Final = "endpoints"
TABLE_MEMBERS: Final = "chutelink-members"
TABLE_LEASES: Final = "chutelink-leases"
TABLE_QUARANTINE: Final = "chutelink-quarantine"
TABLE_ORIGINS: Final = "chutelink-origins"
KEY_ROUTING_CONFIG: Final = "config/config"

STREAM_END: Final = b"data: [DONE]\n\n"

MAX_HEADER_BYTES: Final = 16 * 1024
MAX_PEER_MESSAGE_BYTES: Final = 4 * 1024 * 1024
