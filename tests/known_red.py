"""The list of known failures: its entries, and what is wrong with them.

An entry is one line: ``NAME: COMMAND AND SEED; WHAT WAS SEEN (issue N)``. ``NAME`` is a
pytest node id, or names something else that its command runs.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

LIST_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
NODE_SEPARATOR = "::"


class KnownFailure(NamedTuple):
    """One entry of the list; ``command`` is empty where it has none."""

    name: str
    command: str
    line: str

    @property
    def is_test(self) -> bool:
        """Whether pytest can collect it."""
        return NODE_SEPARATOR in self.name


def parse_known_failures(text: str) -> list[KnownFailure]:
    """Return the entries of the list, one for each line that is not blank."""
    return [_parse_entry(line.strip()) for line in text.splitlines() if line.strip()]


def _parse_entry(line: str) -> KnownFailure:
    name, _, rest = line.partition(": ")
    command, separator, _ = rest.partition(";")
    return KnownFailure(name, command.strip() if separator else "", line)


def find_errors(
    entries: list[KnownFailure], collected: set[str] | None = None
) -> list[str]:
    """Return what is wrong with the list.

    Parameters
    ----------
    entries : list[KnownFailure]
        The entries.
    collected : set[str] or None
        Node ids of the whole suite; None if only a part of it was collected.
    """
    errors = [f"no command: {e.line}" for e in entries if not e.command]
    names = [e.name for e in entries]
    errors += [f"listed twice: {name}" for name in {*names} if names.count(name) > 1]
    if collected is not None:
        missing = [e.name for e in entries if e.is_test and e.name not in collected]
        errors += [f"no such test: {name}" for name in missing]
    return errors
