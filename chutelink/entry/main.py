"""Entry point of chutelink-entry."""

from __future__ import annotations

import gc
import sys

from ..settings import EntrySettings
from ..startup import HeldSignals, prepare_startup
from .listeners import open_listener


def main() -> int:
    """Run an entry daemon."""
    held = HeldSignals()
    held.hold()
    start = prepare_startup(
        "chutelink-entry",
        "Relays callers' requests to endpoints on lent VMs.",
        EntrySettings,
    )
    listener = open_listener(start.settings.entry.caller_listen)
    # Imports create no garbage, and collections would take much of the import time.
    gc.disable()
    # Imported after the listener is open: this is most of the startup time, and
    # until callers can connect, a restarted daemon refuses every connection.
    from ..core import run_daemon
    from ..platform.adapter import PreparedMachinesAdapter
    from .app import EntryApp

    gc.freeze()
    gc.enable()
    return run_daemon(
        start,
        lambda settings: EntryApp(settings, PreparedMachinesAdapter(), listener),
        held,
    )


if __name__ == "__main__":
    sys.exit(main())
