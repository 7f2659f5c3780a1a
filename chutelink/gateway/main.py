"""Entry point of ``chutelink-gateway``."""

from __future__ import annotations

from ..core import run_program
from ..settings import GatewaySettings
from .app import GatewayApp


def main() -> int:
    """Run the gateway daemon and return its exit code."""
    return run_program(
        "chutelink-gateway",
        "Serve callers: admit, queue, route, retry and relay their requests.",
        GatewaySettings,
        GatewayApp,
    )
