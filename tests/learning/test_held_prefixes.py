"""The estimate of held prompt parts, where engines evict or lose them."""

from __future__ import annotations

import pytest

from chutelink.entry.messages import (
    LoadReport,
    PromptSizes,
    decode_entry_message,
    encode_entry_message,
)
from chutelink.learning.held_prefixes import (
    MAX_EVICTED_PARTS,
    MAX_PARTS,
    HeldPrefixTable,
)
from chutelink.learning.prefixes import PREFIX_TTL_S

from ..placing.test_placement import make_site

NOW_S = 10.0
CAPACITY = 1000


class HeldFixture:
    def __init__(self, capacity: int = CAPACITY) -> None:
        self.capacity = capacity
        self.table = HeldPrefixTable(lambda endpoint: self.capacity)

    def note(self, *chain: int, tokens: int = 300, ref: str = "m0", others: int = 0):
        sizes = PromptSizes(ref, [tokens] * len(chain), others)
        self.table.note("i-1", chain, NOW_S, sizes)

    def held(self, *chain: int) -> int:
        return self.table.cached_parts("i-1", chain, NOW_S)


def test_full_memory_evicts_least_recently_used_and_last_parts_first():
    """Engines with small memory were assumed to hold 400 prefixes of any size."""
    fixture = HeldFixture()
    fixture.note(1, 2)
    fixture.note(3)
    fixture.note(4)
    assert fixture.held(1, 2) == 1
    fixture.note(1)
    fixture.note(5)
    assert (fixture.held(1), fixture.held(3), fixture.held(4)) == (1, 0, 1)


def test_shared_part_is_counted_once():
    """Counting it for each prompt would evict what the engine still holds."""
    fixture = HeldFixture()
    for last in (2, 3):
        fixture.note(1, last)
    assert fixture.held(1, 2) == fixture.held(1, 3) == 2


def test_part_after_an_evicted_one_is_useless():
    """A part in the middle that isn't held ends the prefix."""
    fixture = HeldFixture()
    fixture.note(1)
    fixture.note(3)
    assert fixture.held(1, 2, 3) == 1


def test_output_and_prompt_tokens_outside_of_parts_take_memory():
    fixture = HeldFixture()
    fixture.note(1)
    fixture.note(others=800)
    assert fixture.held(1) == 0


def test_unloaded_model_loses_its_parts_only():
    """A reloaded model was assumed to hold what it had before."""
    fixture = HeldFixture()
    fixture.note(1, ref="m0")
    fixture.note(2, ref="m1")
    fixture.note(3, ref="m1/a1")
    row = make_site("i-1", {"m1": []}).endpoint
    fixture.table.forget_unloaded([row])
    assert (fixture.held(1), fixture.held(2), fixture.held(3)) == (0, 1, 0)


def test_restarted_engine_holds_nothing():
    """What the previous process evicted says nothing of the new one's memory."""
    fixture = HeldFixture()
    for value in range(10):
        fixture.note(value, 100 + value)
    fixture.table.forget("i-1")
    assert fixture.held(9) == 0
    fixture.note(1, 101)
    assert fixture.table.lost_tokens("i-1", CAPACITY) == 0.0


@pytest.mark.parametrize(("frozen_s", "held"), [(0.5, 1), (30.0, 0)])
def test_freeze_evicts_what_unseen_prompts_displaced(frozen_s, held):
    """A daemon that was frozen sent prompts to engines that no longer held them."""
    fixture = HeldFixture()
    fixture.table.note_alive(NOW_S)
    fixture.note(1)
    fixture.note(2)
    fixture.table.note_alive(NOW_S + frozen_s)
    assert fixture.held(1) == held


def test_only_evicted_tokens_that_are_read_again_make_memory_costly():
    """Displacing what nobody requests again costs nothing, nor does free memory."""
    fixture = HeldFixture()
    for value in range(10):
        fixture.note(value, 100 + value)
    assert fixture.table.lost_tokens("i-1", 500) == 0.0
    for value in range(5):
        fixture.note(value, 200 + value)
    lost = fixture.table.lost_tokens("i-1", 500)
    assert 0.0 < lost < 500
    fixture.capacity = 100 * CAPACITY
    assert fixture.table.lost_tokens("i-1", 500) == 0.0


def test_engine_without_configured_memory_is_estimated_by_age():
    fixture = HeldFixture(capacity=0)
    fixture.note(1)
    assert fixture.held(1) == 1
    assert fixture.table.cached_parts("i-1", (1,), NOW_S + PREFIX_TTL_S + 1) == 0


def test_number_of_parts_is_bounded_for_any_memory():
    """Engines with large memory and many endpoints exceeded a daemon's memory."""
    fixture = HeldFixture(capacity=10**9)
    for value in range(3 * MAX_PARTS):
        sizes = PromptSizes("m0", [300, 300])
        chain = (2 * value, 2 * value + 1)
        fixture.table.note(f"i-{value % 670}", chain, NOW_S, sizes)
    parts = sum(len(held.parts) for held in fixture.table._held.values())
    assert parts <= MAX_PARTS
    assert len(fixture.table._evicted) <= MAX_EVICTED_PARTS


def test_reports_without_sizes_are_understood():
    """Daemons of the previous release, or with the setting off, send none."""
    report = LoadReport("d1", [], [], [("i-1", [1, 2])])
    decoded = decode_entry_message(encode_entry_message(report), "d1")
    assert decoded.prompt_sizes == []
    fixture = HeldFixture()
    fixture.note(8, 9)
    for value in range(1, 60):
        fixture.table.note("i-1", [value], NOW_S)
    assert fixture.held(8) == 0
    assert fixture.held(59) == 1
