"""Each entry of the list of known failures can be reproduced."""

from __future__ import annotations

from .known_red import LIST_PATH, find_errors, parse_known_failures

TEST = "tests/a/test_b.py::test_c[2.0]"
ENTRY = f"{TEST}: pytest, seed 5; one never served (issue 1)"
NON_TEST_ENTRY = "hunt/site: fleetbench run site.toml day --seed 3; given up (issue 2)"


def test_entry_with_test_and_command_is_valid():
    entries = parse_known_failures(f"{ENTRY}\n\n{NON_TEST_ENTRY}\n")
    assert [entry.is_test for entry in entries] == [True, False]
    assert entries[0].command == "pytest, seed 5"
    assert find_errors(entries, {TEST}) == []


def test_entry_without_command_is_an_error():
    entries = parse_known_failures("hunt/site: given up for processor time (issue 2)")
    assert find_errors(entries) == [f"no command: {entries[0].line}"]


def test_entry_for_missing_test_is_an_error():
    entries = parse_known_failures(ENTRY)
    assert find_errors(entries, {"tests/a/test_b.py::test_d"}) == [
        f"no such test: {TEST}"
    ]
    assert find_errors(entries) == []


def test_duplicate_entry_is_an_error():
    entries = parse_known_failures(f"{ENTRY}\n{ENTRY}")
    assert find_errors(entries) == [f"listed twice: {TEST}"]


def test_list_of_this_project_is_valid():
    assert find_errors(parse_known_failures(LIST_PATH.read_text())) == []
