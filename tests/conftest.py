"""Deterministic Hypothesis settings, and handling of the known failures.

Tests listed in KNOWN-RED.txt are marked as expected failures and printed.
"""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, settings

from .known_red import LIST_PATH, find_errors, parse_known_failures

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("ci")

_KNOWN = parse_known_failures(LIST_PATH.read_text())
_RESULTS = {"xpassed": "passes", "xfailed": "fails"}


def pytest_collection_modifyitems(config, items):
    is_full_suite = config.args_source is config.ArgsSource.TESTPATHS
    errors = find_errors(_KNOWN, {i.nodeid for i in items} if is_full_suite else None)
    if errors:
        raise pytest.UsageError(f"{LIST_PATH.name}: " + "; ".join(errors))
    known = {entry.name: entry.line for entry in _KNOWN}
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid], strict=False))


def pytest_terminal_summary(terminalreporter):
    results = {
        report.nodeid: result
        for outcome, result in _RESULTS.items()
        for report in terminalreporter.getreports(outcome)
    }
    for entry in _KNOWN:
        result = results.get(entry.name, "not run")
        terminalreporter.write_line(f"KNOWN RED ({result}): {entry.line}")
