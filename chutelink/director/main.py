"""Entry point of ``chutelink-director``."""

from __future__ import annotations

from ..core import run_program
from ..settings import DirectorSettings
from .app import DirectorApp


def main() -> int:
    """Run the director daemon and return its exit code."""
    return run_program(
        "chutelink-director",
        "Place models, order loads and keep the memory ledger.",
        DirectorSettings,
        DirectorApp,
    )
