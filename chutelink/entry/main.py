"""Entry point of chutelink-entry."""

from __future__ import annotations

import sys

from ..core import run_program
from ..platform.adapter import PreparedMachines
from ..settings import EntrySettings
from .app import EntryApp


def main() -> int:
    """Run an entry daemon."""
    return run_program(
        "chutelink-entry",
        "Relays callers' requests to endpoints on lent VMs.",
        EntrySettings,
        lambda settings: EntryApp(settings, PreparedMachines()),
    )


if __name__ == "__main__":
    sys.exit(main())
