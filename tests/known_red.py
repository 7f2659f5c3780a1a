"""Parses and validates the list of known failures.

An entry is one line: ``NAME: COMMAND AND SEED; WHAT WAS SEEN (issue N)``. ``NAME`` is a
pytest node id or a label for something else that the command runs.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

LIST_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
NODE_SEPARATOR = "::"


class KnownFailure(NamedTuple):
    """An entry of the list; ``command`` is empty if the entry has none."""

    name: str
    command: str
    line: str

    @property
    def is_test(self) -> bool:
        """Whether the entry names a pytest node."""
        return NODE_SEPARATOR in self.name


def parse_known_failures(text: str) -> list[KnownFailure]:
    """Return the entries of the list, one per non-blank line."""
    return [_parse_entry(line.strip()) for line in text.splitlines() if line.strip()]


def _parse_entry(line: str) -> KnownFailure:
    name, _, rest = line.partition(": ")
    command, separator, _ = rest.partition(";")
    return KnownFailure(name, command.strip() if separator else "", line)


def find_errors(
    entries: list[KnownFailure], collected: set[str] | None = None
) -> list[str]:
    """Return the errors in the list.

    Parameters
    ----------
    entries : list[KnownFailure]
        Parsed entries.
    collected : set[str] or None
        Node ids of the whole suite, or None if only part of it was collected.
    """
    errors = [f"no command: {e.line}" for e in entries if not e.command]
    names = [e.name for e in entries]
    errors += [f"listed twice: {name}" for name in {*names} if names.count(name) > 1]
    if collected is not None:
        missing = [e.name for e in entries if e.is_test and e.name not in collected]
        errors += [f"no such test: {name}" for name in missing]
    return errors
