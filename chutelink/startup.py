"""What a daemon does first: its command line and its settings.

Imports little, so that a program can act on its settings before it imports the
rest, which takes most of the time of a start.
"""

from __future__ import annotations

import argparse
import os
import sys
from pathlib import Path
from typing import Generic, TypeVar

import msgspec

from . import __version__
from .exceptions import SettingsError
from .settings import describe_settings, load_settings

SettingsT = TypeVar("SettingsT", bound=msgspec.Struct)
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


class Start(msgspec.Struct, Generic[SettingsT], frozen=True):
    """A daemon's settings, and the file that they are read from again."""

    program: str
    path: Path
    settings: SettingsT

    def reread(self) -> SettingsT:
        """Return the settings as the file says now.

        Raises
        ------
        SettingsError
            The file is missing or has faults.
        """
        return load_settings(self.path, type(self.settings))


def prepare_start(
    program: str, description: str, kind: type[SettingsT]
) -> Start[SettingsT]:
    """Parse the command line and check the settings.

    Raises
    ------
    SystemExit
        With 2 for bad settings, with 0 when they were only to be checked.
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
    return Start(program, path, settings)


def _parse_arguments(program: str, description: str) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog=program, description=description)
    source = parser.add_mutually_exclusive_group(required=True)
    source.add_argument("--settings", type=Path, help="INI file")
    source.add_argument(
        "--settings-env", metavar="NAME", help="variable that holds the file's path"
    )
    parser.add_argument(
        "--check", action="store_true", help="print the settings in force and exit"
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser.parse_args()
