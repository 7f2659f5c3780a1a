"""Tests for evidence of endings, and for holding and clearing requests."""

from __future__ import annotations

import asyncio

from chutelink.ids import EndpointId, Fingerprint, Incarnation
from chutelink.quarantine.const import ENDINGS_TO_HOLD, LATE_EVIDENCE_S
from chutelink.quarantine.messages import ClearedMessage, EndedRun, EndingsMessage
from chutelink.quarantine.model import BrokenRun, Ending, Verdict
from chutelink.quarantine.probe import ConnectProbe, EndingProbe, ProbeResult
from chutelink.quarantine.service import Quarantine

from ..fakes import make_core

BAD = Fingerprint("bad")


class FixedProbe(EndingProbe):
    def __init__(self, result: ProbeResult) -> None:
        self.result = result
        self.calls = 0

    async def async_probe(self, address: str) -> ProbeResult:
        self.calls += 1
        await asyncio.sleep(0)
        return self.result


def broken_run(
    number: int, fingerprint: Fingerprint = BAD, sent_s: float = 0.0
) -> BrokenRun:
    name = EndpointId(f"i-{number}")
    return BrokenRun(fingerprint, "GET a/b", name, 1, "x:1", sent_s)


def run(test, result: ProbeResult = ProbeResult.REFUSED) -> None:
    async def async_run():
        core = make_core()
        core.daemon.peer_key = "key"
        probe = FixedProbe(result)
        await test(Quarantine(core, probe), core, probe)

    asyncio.run(async_run())


def test_request_is_held_after_enough_endings():
    async def async_test(quarantine, core, probe):
        for number in range(ENDINGS_TO_HOLD):
            assert quarantine.verdict(BAD) is Verdict.FREE
            await quarantine.async_note_broken(broken_run(number))
        assert quarantine.verdict(BAD) is Verdict.HELD

    run(async_test)


def test_second_ending_before_the_restart_is_registered_is_counted():
    """An endpoint restarts under its id and terminates again before it registers.

    Such endings were taken for repeated reports of the first one: in the soak test, 11
    runs terminated two endpoints before the request was held.
    """

    async def async_test(quarantine, core, probe):
        for _ in range(ENDINGS_TO_HOLD):
            assert quarantine.verdict(BAD) is Verdict.FREE
            core.now_s += 1.0
            await quarantine.async_note_broken(broken_run(1, sent_s=core.now_s - 0.1))
        assert quarantine.verdict(BAD) is Verdict.HELD

    run(async_test)


def test_runs_broken_by_one_ending_count_once():
    async def async_test(quarantine, core, probe):
        for number in range(10):
            core.now_s += 0.01
            sent_s = core.now_s - 1.0 - number
            await quarantine.async_note_broken(broken_run(1, sent_s=sent_s))
        assert quarantine.verdict(BAD) is Verdict.FREE

    run(async_test)


def test_ending_identified_differently_by_two_daemons_counts_once():
    """Only one of the daemons knows that the endpoint had restarted before."""

    async def async_test(quarantine, core, probe):
        core.now_s += 1.0
        await quarantine.async_note_broken(broken_run(1, sent_s=core.now_s - 0.1))
        ended = EndedRun(BAD, "GET a/b", Ending(EndpointId("i-1"), 2))
        quarantine.apply_endings(EndingsMessage([ended]), "d2")
        assert len(quarantine.table.get(BAD).endings) == 1

    run(async_test)


def test_broken_connections_to_a_live_endpoint_are_no_evidence():
    async def async_test(quarantine, core, probe):
        for number in range(10):
            await quarantine.async_note_broken(broken_run(number))
        assert quarantine.verdict(BAD) is Verdict.FREE
        assert not len(quarantine.table)

    run(async_test, ProbeResult.ACCEPTED)


def test_restart_under_the_same_id_confirms_the_ending_later():
    async def async_test(quarantine, core, probe):
        for number in range(ENDINGS_TO_HOLD):
            await quarantine.async_note_broken(broken_run(number))
        for number in range(ENDINGS_TO_HOLD):
            assert quarantine.verdict(BAD) is Verdict.FREE
            quarantine.note_restarted(Incarnation(f"i-{number}@1"))
        assert quarantine.verdict(BAD) is Verdict.HELD

    run(async_test, ProbeResult.ACCEPTED)


def test_restart_after_the_evidence_period_is_not_counted():
    async def async_test(quarantine, core, probe):
        for number in range(ENDINGS_TO_HOLD):
            await quarantine.async_note_broken(broken_run(number))
        core.now_s += LATE_EVIDENCE_S + 1
        for number in range(ENDINGS_TO_HOLD):
            quarantine.note_restarted(Incarnation(f"i-{number}@1"))
        assert quarantine.verdict(BAD) is Verdict.FREE

    run(async_test, ProbeResult.ACCEPTED)


def test_lapsed_registration_confirms_the_ending_of_a_silent_endpoint_only():
    async def async_test(quarantine, core, probe):
        for number, result in enumerate((ProbeResult.ACCEPTED, ProbeResult.SILENT)):
            probe.result = result
            await quarantine.async_note_broken(broken_run(number))
            quarantine.note_registration_lapsed(Incarnation(f"i-{number}@1"))
        assert quarantine.table.get(BAD).endings == (Ending(EndpointId("i-1"), 1),)

    run(async_test)


def test_simultaneously_broken_runs_share_one_probe_and_one_message():
    async def async_test(quarantine, core, probe):
        sent = []
        quarantine.send = sent.append
        runs = [broken_run(1, Fingerprint(f"r{n}")) for n in range(64)]
        await asyncio.gather(*(quarantine.async_note_broken(r) for r in runs))
        await asyncio.sleep(0.05)
        assert probe.calls == 1
        assert [len(message.runs) for message in sent] == [64]

    run(async_test)


def test_endings_reported_by_other_daemons_count_once():
    async def async_test(quarantine, core, probe):
        sent = []
        quarantine.send = sent.append
        await quarantine.async_note_broken(broken_run(1))
        await asyncio.sleep(0.05)
        for _ in range(ENDINGS_TO_HOLD):
            quarantine.apply_endings(sent[0], "d2")
        assert quarantine.verdict(BAD) is Verdict.FREE
        for number in range(2, ENDINGS_TO_HOLD + 1):
            ended = EndedRun(BAD, "GET a/b", Ending(EndpointId(f"i-{number}"), 1))
            quarantine.apply_endings(EndingsMessage([ended]), "d2")
        assert quarantine.verdict(BAD) is Verdict.HELD

    run(async_test)


def test_successful_run_clears_a_request_at_all_daemons():
    """Content that many callers send may merely be running when endpoints end."""

    async def async_test(quarantine, core, probe):
        sent = []
        quarantine.send = sent.append
        quarantine.note_success(BAD)
        assert not sent
        for number in range(ENDINGS_TO_HOLD):
            await quarantine.async_note_broken(broken_run(number))
        assert quarantine.verdict(BAD) is Verdict.HELD
        quarantine.note_success(BAD)
        assert quarantine.verdict(BAD) is Verdict.FREE
        assert ClearedMessage(BAD) in sent

    run(async_test)


def test_probe_distinguishes_refused_accepted_and_silent():
    async def async_test():
        server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        probe = ConnectProbe()
        assert await probe.async_probe(f"127.0.0.1:{port}") is ProbeResult.ACCEPTED
        server.close()
        await server.wait_closed()
        assert await probe.async_probe(f"127.0.0.1:{port}") is ProbeResult.REFUSED
        assert await probe.async_probe("nonsense") is ProbeResult.SILENT

    asyncio.run(async_test())


def test_ending_is_counted_if_the_restart_registers_during_the_probe():
    """The new process accepts the probe, and its registration was handled earlier.

    On a loaded daemon the probe was slow: a request terminated 20 endpoints, although
    each restart was registered at once and three endings should hold the request.
    """

    async def async_test(quarantine, core, probe):
        for number in range(ENDINGS_TO_HOLD):
            assert quarantine.verdict(BAD) is Verdict.FREE
            broken = broken_run(number)
            task = asyncio.ensure_future(quarantine.async_note_broken(broken))
            await asyncio.sleep(0)
            quarantine.note_restarted(broken.incarnation)
            await task
        assert quarantine.verdict(BAD) is Verdict.HELD

    run(async_test, ProbeResult.ACCEPTED)
