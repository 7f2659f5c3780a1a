"""The fleet file: every fault is refused with its place."""

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


def problems_of(text: str) -> list[str]:
    result = parse_fleet(text, "f.ini")
    assert isinstance(result, Failure)
    return [str(problem) for problem in result.failure()]


@pytest.mark.parametrize("name", ["opa", "kulmaahel"])
def test_examples_are_accepted(name):
    result = parse_fleet((EXAMPLES / f"{name}.ini").read_text(), name)
    assert isinstance(result, Success)


@pytest.mark.parametrize(
    ("changed", "place", "message"),
    [
        ("memory_mb = 60", "f.ini:10: [model m] memory_mb", "Expected `int`"),
        ("memory_mb = 60", "f.ini:10: [model m] memory_mb", "no place"),
        ("failure_domain = a", "f.ini:5: [endpoint e1] failure_domain", "nowhere"),
        ("vm = v1", "f.ini:6: [endpoint e1] colour", "unknown key"),
        ("[model m]", "f.ini:9: [modle m]", "unknown section"),
    ],
)
def test_faults_carry_their_place(changed, place, message):
    replacement = {
        "Expected `int`": "memory_mb = much",
        "no place": "memory_mb = 600",
        "nowhere": "failure_domain = nowhere",
        "unknown key": "colour = red\nvm = v1",
        "unknown section": "[modle m]",
    }[message]
    found = problems_of(SMALL.replace(changed, replacement, 1))
    assert any(p.startswith(place) and message in p for p in found), found


def test_key_and_section_given_twice_are_refused():
    text = SMALL.replace("vm = v1", "vm = v1\nvm = v2") + "\n[model m]\nmemory_mb = 1\n"
    found = problems_of(text)
    assert any("key given twice" in p for p in found)
    assert any("section given twice" in p for p in found)


@given(st.text(max_size=300))
def test_any_text_is_accepted_or_refused_with_a_line(text):
    result = parse_fleet(text, "f.ini")
    if isinstance(result, Failure):
        assert all(problem.line >= 1 for problem in result.failure())


@given(st.integers(0, len(SMALL)), st.integers(0, len(SMALL)), st.text(max_size=8))
def test_a_spoilt_file_is_accepted_or_refused(start, length, inserted):
    text = SMALL[:start] + inserted + SMALL[start + length :]
    assert isinstance(parse_fleet(text, "f.ini"), Success | Failure)


def test_difference_names_fields_and_hides_keys():
    old = parse_fleet(SMALL).unwrap()
    new = parse_fleet(SMALL.replace("memory_mb = 60", "memory_mb = 61")).unwrap()
    assert [str(c) for c in diff_fleets(old, new)] == [
        "changed models m (memory_mb: 60 -> 61)"
    ]
