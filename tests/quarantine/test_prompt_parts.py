"""Which prompt parts are held after endpoints terminated, and which are not."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chutelink.ids import EndpointId, Fingerprint
from chutelink.quarantine.const import (
    ENDING_BATCH_DELAY_S,
    ENDINGS_TO_HOLD,
    SOUND_REPLY_SPREAD_S,
)
from chutelink.quarantine.messages import (
    ClearedMessage,
    EndingsMessage,
    SoundPartsMessage,
)
from chutelink.quarantine.model import BrokenRun, Evidence
from chutelink.quarantine.service import Quarantine

from ..fakes import make_core
from ..virtual_time import run_in_virtual_time

FIRST = Fingerprint("part-first")
CRASHES_BEFORE_LIMIT = 5
MAX_LATE_RUNS = 3
"""Runs that the operators allow for a part that has crashed that many endpoints."""


class SharedQuarantine:
    """Quarantines of several daemons that receive each other's messages at once."""

    def __init__(self, daemons: int = 2) -> None:
        self.now_s = 100.0
        self.daemons = [self._make_daemon(n) for n in range(daemons)]
        self.processes = Counter()
        self.sent: list[str] = []

    def _make_daemon(self, number: int) -> Quarantine:
        core = make_core(f"d{number}")
        core.clock = lambda: self.now_s
        core.daemon.peer_key = "key"
        quarantine = Quarantine(core)
        quarantine.send = lambda message: self._deliver(number, message)
        return quarantine

    def _deliver(self, sender: int, message: object) -> None:
        self.sent.append(type(message).__name__)
        for number, other in enumerate(self.daemons):
            if number == sender:
                continue
            if isinstance(message, EndingsMessage):
                other.apply_endings(message, f"d{sender}")
            elif isinstance(message, SoundPartsMessage):
                other.apply_sound_parts(message)
            elif isinstance(message, ClearedMessage):
                other.clear(message.fingerprint, "told")

    def is_admitted(self, daemon: int, content: str, parts: list[str]) -> bool:
        return not self.daemons[daemon].binding((Fingerprint(content), *parts))

    async def async_crash(
        self, endpoint: str, runs: list[tuple[int, str, list[str]]]
    ) -> None:
        """Crash an endpoint that runs requests of daemons, each with its parts."""
        self.now_s += 1.0
        self.processes[endpoint] += 1
        born_ms = self.processes[endpoint]
        for daemon, content, parts in runs:
            run = BrokenRun(
                Fingerprint(content),
                "POST a/b",
                EndpointId(endpoint),
                born_ms,
                "x:1",
                self.now_s - 0.1,
                parts=tuple(Fingerprint(part) for part in parts),
            )
            self.daemons[daemon].note_ended(run, Evidence.RESTARTED, self.now_s)
        # Lets the daemons send their batches.
        await asyncio.sleep(0.012)

    def held_parts(self, daemon: int = 0) -> set[str]:
        holds = self.daemons[daemon].table.holds()
        return {name for name in holds if name.startswith("part-")}


def run(async_test, daemons: int = 2) -> None:
    async def async_run():
        await async_test(SharedQuarantine(daemons))

    asyncio.run(async_run())


def test_part_is_held_at_all_daemons_though_no_request_is_repeated():
    async def async_test(shared):
        for number in range(ENDINGS_TO_HOLD):
            assert shared.is_admitted(0, "next", ["part-bad"])
            bad = (number % 2, f"r{number}", [FIRST, "part-bad"])
            await shared.async_crash(f"i-{number}", [bad])
        for daemon in range(2):
            assert not shared.is_admitted(daemon, "next", [FIRST, "part-bad"])

    run(async_test)


def test_repeated_request_does_not_hold_its_parts():
    async def async_test(shared):
        for number in range(ENDINGS_TO_HOLD):
            await shared.async_crash(f"i-{number}", [(0, "same", ["part-a"])])
        assert not shared.is_admitted(1, "same", ["part-a"])
        assert shared.is_admitted(1, "other", ["part-a"])

    run(async_test)


def test_part_known_as_sound_at_another_daemon_is_not_held():
    async def async_test(shared):
        for daemon in shared.daemons[1:]:
            daemon.note_sound([FIRST])
        for number in range(ENDINGS_TO_HOLD):
            await shared.async_crash(f"i-{number}", [(0, f"r{number}", [FIRST])])
        await asyncio.sleep(SOUND_REPLY_SPREAD_S)
        assert shared.held_parts(0) == shared.held_parts(1) == set()
        assert shared.sent.count("SoundPartsMessage") == 1

    run(async_test, daemons=6)


def test_part_found_sound_before_it_is_reported_gets_no_second_reply():
    async def async_test():
        shared = SharedQuarantine(daemons=2)
        shared.daemons[1].note_sound([FIRST])
        crash = asyncio.ensure_future(shared.async_crash("i-0", [(0, "r0", [FIRST])]))
        await asyncio.sleep(ENDING_BATCH_DELAY_S / 2)
        shared.daemons[0].apply_sound_parts(SoundPartsMessage([FIRST]))
        await crash
        await asyncio.sleep(SOUND_REPLY_SPREAD_S)
        assert shared.sent == ["EndingsMessage"]

    run_in_virtual_time(async_test())


def test_inseparable_parts_are_held_only_together_until_one_is_sound():
    async def async_test(shared):
        parts = [FIRST, "part-bad"]
        for number in range(ENDINGS_TO_HOLD):
            await shared.async_crash(f"i-{number}", [(0, f"r{number}", parts)])
        assert not shared.is_admitted(1, "next", parts)
        assert shared.is_admitted(1, "next", [FIRST])
        shared.daemons[1].note_sound([FIRST])
        assert not shared.is_admitted(0, "next", ["part-bad"])
        assert shared.held_parts(0) == shared.held_parts(1) == {"part-bad"}

    run(async_test)


def test_inseparable_part_is_held_alone_once_it_crashes_without_the_others():
    async def async_test(shared):
        for number in range(ENDINGS_TO_HOLD):
            parts = ["part-a", "part-bad"]
            await shared.async_crash(f"i-{number}", [(0, f"r{number}", parts)])
        for part in ("part-b", "part-c"):
            await shared.async_crash("i-9", [(1, f"own-{part}", [part, "part-bad"])])
        for daemon in range(2):
            assert not shared.is_admitted(daemon, "next", ["part-bad"])
            assert shared.is_admitted(daemon, "next", ["part-a"])
            assert shared.is_admitted(daemon, "next", ["part-b"])

    run(async_test)


def test_parts_that_ran_beside_a_held_one_are_discharged():
    async def async_test(shared):
        for number in range(ENDINGS_TO_HOLD):
            runs = [
                (0, f"r{number}", ["part-bad"]),
                (1, f"s{number}", ["part-new"] if number else ["part-other"]),
            ]
            await shared.async_crash(f"i-{number}", runs)
        await shared.async_crash("i-9", [(1, "s9", ["part-new"])])
        assert shared.held_parts(0) == {"part-bad"}

    run(async_test)


def test_operators_release_does_not_make_a_part_sound():
    async def async_test(shared):
        for number in range(ENDINGS_TO_HOLD):
            await shared.async_crash(f"i-{number}", [(0, f"r{number}", ["part-bad"])])
        assert shared.daemons[0].release(Fingerprint("part-bad"), "operator")
        assert shared.is_admitted(1, "next", ["part-bad"])
        for number in range(ENDINGS_TO_HOLD):
            await shared.async_crash(f"j-{number}", [(0, f"t{number}", ["part-bad"])])
        assert not shared.is_admitted(1, "next", ["part-bad"])

    run(async_test)


@st.composite
def workloads(draw) -> list[list[tuple[int, int, str, int]]]:
    """Return batches of requests that run at the same time.

    Each is its daemon, its endpoint, its part besides the first one, and the crashing
    part that it has, 0 for none.
    """
    request = st.tuples(
        st.integers(0, 1),
        st.integers(0, 3),
        st.sampled_from(["part-s1", "part-s2", "part-s3", "part-s4"]),
        st.sampled_from([0, 0, 0, 1, 2]),
    )
    return draw(st.lists(st.lists(request, min_size=1, max_size=4), max_size=40))


@pytest.mark.parametrize("is_warm", [True, False], ids=["warm", "cold"])
def test_crashes_are_bounded_and_sound_parts_stay_admitted(is_warm):
    @settings(max_examples=60)
    @given(workload=workloads())
    def check(workload):
        asyncio.run(async_check(workload, is_warm=is_warm))

    check()


async def async_check(workload, *, is_warm: bool) -> None:
    shared = SharedQuarantine()
    crashes, late_runs = Counter(), Counter()
    if is_warm:
        shared.daemons[0].note_sound([FIRST])
    for step, batch in enumerate(workload):
        by_endpoint: dict[int, list] = {}
        for number, (daemon, endpoint, subject, bad) in enumerate(batch):
            parts = [FIRST, subject] + [f"part-bad{bad}"] * bool(bad)
            content = f"r{step}-{number}"
            if shared.is_admitted(daemon, content, parts):
                by_endpoint.setdefault(endpoint, []).append((daemon, content, parts))
                late_runs[parts[-1]] += crashes[parts[-1]] >= CRASHES_BEFORE_LIMIT
        for endpoint, runs in by_endpoint.items():
            bad_parts = {p for _, _, parts in runs for p in parts if "bad" in p}
            if bad_parts:
                crashes.update(bad_parts)
                await shared.async_crash(f"i-{endpoint}", runs)
                continue
            for daemon, _, parts in runs:
                shared.daemons[daemon].note_sound(parts)
    assert all(count <= MAX_LATE_RUNS for count in late_runs.values()), late_runs
    if is_warm:
        assert shared.is_admitted(0, "next", [FIRST])
