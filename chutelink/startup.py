"""Command line and settings of a daemon.

This module has few imports, so that a program can act on its settings before it
imports the rest. Imports take most of a program's startup time.
"""

from __future__ import annotations

import argparse
import os
import signal
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from types import FrameType
from typing import Generic, TypeVar

import msgspec

from . import __version__
from .exceptions import SettingsError
from .settings import describe_settings, load_settings

SettingsT = TypeVar("SettingsT", bound=msgspec.Struct)
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


class HeldSignals:
    """Signals that arrive before the event loop handles them, and when they do.

    By default they end the process. Starting takes seconds with little processor time,
    and callers may have opened connections by then. Later, a busy event loop may handle
    a signal long after its arrival.
    """

    def __init__(self) -> None:
        self._arrived_s: dict[int, float] = {}

    def hold(self) -> None:
        """Record signals from now on."""
        for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
            signal.signal(number, self._note)
            # The event loop's own handlers don't interrupt system calls either.
            signal.siginterrupt(number, False)

    def take(self) -> Iterator[tuple[int, float]]:
        """Yield each recorded signal and the boot time in seconds of its arrival."""
        while self._arrived_s:
            yield self._arrived_s.popitem()

    def _note(self, number: int, frame: FrameType | None) -> None:
        self._arrived_s.setdefault(number, time.clock_gettime(time.CLOCK_BOOTTIME))


class StartupContext(msgspec.Struct, Generic[SettingsT], frozen=True):
    """A daemon's settings and the file from which they can be reloaded."""

    program: str
    path: Path
    settings: SettingsT

    def reload_settings(self) -> SettingsT:
        """Return the current settings of the file.

        Raises
        ------
        SettingsError
            The file is missing or invalid.
        """
        return load_settings(self.path, type(self.settings))


def prepare_startup(
    program: str, description: str, kind: type[SettingsT]
) -> StartupContext[SettingsT]:
    """Parse the command line and check the settings.

    Raises
    ------
    SystemExit
        With code 2 for invalid settings, with code 0 after ``--check``.
    """
    args = _parse_arguments(program, description)
    path = args.settings or Path(os.environ.get(args.settings_env, ""))
    try:
        settings = load_settings(path, kind)
    except SettingsError as error:
        print(error.message, file=sys.stderr)
        raise SystemExit(EXIT_USAGE) from error
    if args.check:
        print(describe_settings(settings))
        raise SystemExit(EXIT_OK)
    return StartupContext(program, path, settings)


def _parse_arguments(program: str, description: str) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog=program, description=description)
    source = parser.add_mutually_exclusive_group(required=True)
    source.add_argument("--settings", type=Path, help="INI file")
    source.add_argument(
        "--settings-env",
        metavar="NAME",
        help="environment variable with the file's path",
    )
    parser.add_argument(
        "--check", action="store_true", help="print the settings in force and exit"
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser.parse_args()
