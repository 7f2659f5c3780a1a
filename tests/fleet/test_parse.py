"""Tests for parsing fleet files; each problem is reported with its location."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from chutelink.fleet import diff_fleets, parse_fleet

EXAMPLES = Path(__file__).parents[2] / "examples"
SMALL = """\
[failure_domain a]

[endpoint e1]
url = http://127.0.0.1:1
failure_domain = a
vm = v1
memory_mb = 100

[model m]
memory_mb = 60
"""


def parse_problems(text: str) -> list[str]:
    result = parse_fleet(text, "f.ini")
    assert isinstance(result, Failure)
    return [str(problem) for problem in result.failure()]


@pytest.mark.parametrize("name", ["opa", "kulmaahel"])
def test_examples_are_accepted(name):
    result = parse_fleet((EXAMPLES / f"{name}.ini").read_text(), name)
    assert isinstance(result, Success)


@pytest.mark.parametrize(
    ("changed", "location", "message"),
    [
        ("memory_mb = 60", "f.ini:10: [model m] memory_mb", "Expected `int`"),
        ("memory_mb = 60", "f.ini:10: [model m] memory_mb", "does not fit"),
        ("failure_domain = a", "f.ini:5: [endpoint e1] failure_domain", "nowhere"),
        ("vm = v1", "f.ini:6: [endpoint e1] colour", "unknown key"),
        ("[model m]", "f.ini:9: [modle m]", "unknown section"),
    ],
)
def test_problems_include_location(changed, location, message):
    replacement = {
        "Expected `int`": "memory_mb = much",
        "does not fit": "memory_mb = 600",
        "nowhere": "failure_domain = nowhere",
        "unknown key": "colour = red\nvm = v1",
        "unknown section": "[modle m]",
    }[message]
    found = parse_problems(SMALL.replace(changed, replacement, 1))
    assert any(p.startswith(location) and message in p for p in found), found


def test_duplicate_key_and_section_are_rejected():
    text = SMALL.replace("vm = v1", "vm = v1\nvm = v2") + "\n[model m]\nmemory_mb = 1\n"
    found = parse_problems(text)
    assert any("key given twice" in p for p in found)
    assert any("section given twice" in p for p in found)


@given(st.text(max_size=300))
def test_any_text_is_accepted_or_rejected_with_line(text):
    result = parse_fleet(text, "f.ini")
    if isinstance(result, Failure):
        assert all(problem.line >= 1 for problem in result.failure())


@given(st.integers(0, len(SMALL)), st.integers(0, len(SMALL)), st.text(max_size=8))
def test_corrupted_file_is_accepted_or_rejected(start, length, inserted):
    text = SMALL[:start] + inserted + SMALL[start + length :]
    assert isinstance(parse_fleet(text, "f.ini"), Success | Failure)


def test_diff_lists_changed_fields():
    old = parse_fleet(SMALL).unwrap()
    new = parse_fleet(SMALL.replace("memory_mb = 60", "memory_mb = 61")).unwrap()
    assert [str(c) for c in diff_fleets(old, new)] == [
        "changed models m (memory_mb: 60 -> 61)"
    ]
