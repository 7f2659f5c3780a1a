"""Fixed seeds, and the tests of KNOWN-RED.txt, which CI passes over and prints."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("ci")


def _known_red() -> dict[str, str]:
    lines = [line.strip() for line in KNOWN_RED.read_text().splitlines()]
    return {line.split()[0].rstrip(":,"): line for line in lines if line}


def pytest_collection_modifyitems(items):
    known = _known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid], strict=False))


def pytest_terminal_summary(terminalreporter):
    for line in _known_red().values():
        terminalreporter.write_line(f"KNOWN RED: {line}")
