"""Holds in the store: they outlast daemons, and a trial is one daemon's alone."""

from __future__ import annotations

import asyncio

import msgspec

from chutelink.entry.news import decode_news, encode_news
from chutelink.ids import FIRST_ERA, EndpointId, Fingerprint, WriteId
from chutelink.quarantine import const
from chutelink.quarantine.keeper import PREFIX_HOLDS, QuarantineKeeper
from chutelink.quarantine.model import BrokenRun, Hold, Verdict
from chutelink.quarantine.probe import ProbeResult
from chutelink.quarantine.service import Quarantine
from chutelink.store import Transaction, Write

from ..fakes import FakeTable, make_core
from .test_service import FixedProbe

BAD = Fingerprint("bad")
KEY = PREFIX_HOLDS + BAD
PROCESSES = tuple(f"i-{number}" for number in range(const.ENDINGS_TO_HOLD))


class Daemon:
    """A daemon's quarantine, behind a store that others share."""

    def __init__(self, table: FakeTable, rank: int = 0) -> None:
        self.table = table
        self.core = make_core(f"d{rank}")
        self.core.daemon.peer_key = "key"
        self.unix_s = 0.0
        self.quarantine = Quarantine(
            self.core, FixedProbe(ProbeResult.REFUSED), unix_clock=lambda: self.unix_s
        )
        self.keeper = QuarantineKeeper(self.core, table, self.quarantine, lambda: rank)

    @property
    def verdict(self) -> Verdict:
        return self.quarantine.verdict(BAD)

    async def async_end(self, *processes: str) -> None:
        for process in processes:
            run = BrokenRun(BAD, "GET a/b", EndpointId(process), 1, "x:1", 0.0)
            await self.quarantine.async_note_broken(run)

    async def async_follow(self) -> None:
        """Read the table as the watch does."""
        rows = (await self.table.async_read(PREFIX_HOLDS)).rows
        for row in rows:
            self.keeper.take_row(row.key, row.value)


def test_a_hold_is_written_and_known_to_a_daemon_that_starts_later():
    async def async_test():
        table = FakeTable()
        first, later = Daemon(table), Daemon(table)
        await first.async_end(*PROCESSES)
        await first.keeper.async_save()
        await later.async_follow()
        assert later.verdict is Verdict.HELD

    asyncio.run(async_test())


def test_what_its_finder_could_not_save_another_daemon_saves():
    async def async_test():
        table = FakeTable()
        finder, other = Daemon(table), Daemon(table, rank=2)
        sent = []
        finder.quarantine.send = sent.append
        await finder.async_end(*PROCESSES)
        await asyncio.sleep(0.05)
        other.quarantine.take_endings(sent[0], "d0")
        await other.keeper.async_save()
        assert not (await table.async_read(PREFIX_HOLDS)).rows
        other.core.now_s += const.SAVE_STEP_S * 3
        await other.keeper.async_save()
        assert (await table.async_read(PREFIX_HOLDS)).get(KEY) is not None

    asyncio.run(async_test())


def test_a_hold_outlasts_an_outage_of_the_store():
    async def async_test():
        table = FakeTable()
        daemon = Daemon(table)
        await daemon.async_end(*PROCESSES)
        table.is_out = True
        task = asyncio.ensure_future(daemon.keeper._async_loop.fun(daemon.keeper))
        await asyncio.sleep(0.05)
        assert daemon.verdict is Verdict.HELD
        table.is_out = False
        async with asyncio.timeout(10):
            while not (await table.async_read(PREFIX_HOLDS)).rows:
                await asyncio.sleep(0.05)
        task.cancel()

    asyncio.run(async_test())


def test_a_run_that_ends_well_removes_the_row_and_frees_all_daemons():
    async def async_test():
        table = FakeTable()
        daemon, other = Daemon(table), Daemon(table)
        await daemon.async_end(*PROCESSES)
        await daemon.keeper.async_save()
        await other.async_follow()
        daemon.quarantine.note_success(BAD)
        await daemon.keeper.async_save()
        assert not [r for r in (await table.async_read(PREFIX_HOLDS)).rows if r.value]
        other.keeper.take_row(KEY, None)
        assert other.verdict is Verdict.FREE

    asyncio.run(async_test())


def test_after_the_hold_one_daemon_alone_tries_it_once():
    async def async_test():
        table = FakeTable()
        daemons = [Daemon(table, rank) for rank in range(3)]
        await daemons[0].async_end(*PROCESSES)
        await daemons[0].keeper.async_save()
        for daemon in daemons:
            await daemon.async_follow()
            daemon.unix_s = const.HOLD_S + 1
            assert daemon.verdict is Verdict.TRIAL
        claims = [d.keeper.async_claim_trial(BAD) for d in daemons]
        assert sum(await asyncio.gather(*claims)) == 1
        assert daemons[1].verdict is Verdict.HELD

    asyncio.run(async_test())


def test_without_the_store_nothing_is_tried():
    async def async_test():
        table = FakeTable()
        daemon = Daemon(table)
        await daemon.async_end(*PROCESSES)
        daemon.unix_s = const.HOLD_S + 1
        table.is_out = True
        assert not await daemon.keeper.async_claim_trial(BAD)

    asyncio.run(async_test())


def test_a_row_that_is_no_hold_holds_nothing():
    daemon = Daemon(FakeTable())
    for value in (7, "x", {"until_unix_s": "soon"}, [], {"endings": 3}):
        daemon.keeper.take_row(KEY, value)
    assert daemon.verdict is Verdict.FREE


def test_rows_that_gave_way_to_newer_ones_leave_the_store():
    async def async_test():
        table = FakeTable()
        daemon = Daemon(table)
        hold = msgspec.to_builtins(Hold("GET a/b", (), const.HOLD_S))
        for number in range(const.MAX_HOLDS + 60):
            key = f"{PREFIX_HOLDS}f{number}"
            table.table.commit(Transaction(WriteId(key), (), (Write(key, hold),)))
        await daemon.async_follow()
        for _ in range(2):
            await daemon.keeper.async_save()
        rows = (await table.async_read(PREFIX_HOLDS)).rows
        assert len([row for row in rows if row.value]) == const.MAX_HOLDS
        assert not daemon.keeper._is_due()

    asyncio.run(async_test())


def test_bytes_of_a_path_that_are_no_text_can_be_told_and_stored():
    """They failed in the codec of whoever was to tell or store them."""

    async def async_test():
        table = FakeTable()
        daemon = Daemon(table)
        sent = []
        daemon.quarantine.send = sent.append
        about = "GET a/\udcff\u20ac\x00" + "x" * 500
        for process in PROCESSES:
            run = BrokenRun(BAD, about, EndpointId(process), 1, "x:1", 0.0)
            await daemon.quarantine.async_note_broken(run)
        await asyncio.sleep(0.05)
        news = decode_news(encode_news(sent[0]), "d2")
        assert len(news.runs[0].about) <= const.MAX_ABOUT_CHARS
        hold = daemon.quarantine.table.holds()[BAD]
        assert msgspec.json.decode(msgspec.json.encode(hold), type=Hold) == hold

    asyncio.run(async_test())


def test_a_caller_is_never_told_to_come_back_at_once():
    async def async_test():
        daemon = Daemon(FakeTable())
        await daemon.async_end(*PROCESSES)
        for unix_s in (0.0, const.HOLD_S - 0.01, const.HOLD_S + 100.0):
            daemon.unix_s = unix_s
            assert daemon.quarantine.back_in_s(BAD) >= const.MIN_BACK_S

    asyncio.run(async_test())


class RestoredTable(FakeTable):
    """A table that can come back older, and its followers with it."""

    def __init__(self) -> None:
        super().__init__()
        self.era = FIRST_ERA

    def restore_for(self, copy, *daemons: Daemon) -> None:
        before = {key for key in self.table.rows if key.startswith(PREFIX_HOLDS)}
        self.restore(copy)
        rows = {k: r for k, r in self.table.rows.items() if k.startswith(PREFIX_HOLDS)}
        for daemon in daemons:
            daemon.keeper.note_restored(set(rows))
            for key in before - rows.keys():
                daemon.keeper.take_row(key, None, is_restored=True)
            for key, row in rows.items():
                daemon.keeper.take_row(key, row.value, is_restored=True)


def test_a_hold_that_an_older_store_lacks_stays_and_is_written_again():
    """Its removal would have let the request end three endpoints more."""

    async def async_test():
        table = RestoredTable()
        finder, other = Daemon(table), Daemon(table, rank=1)
        copy = table.copy()
        await finder.async_end(*PROCESSES)
        await finder.keeper.async_save()
        await other.async_follow()
        table.restore_for(copy, other)
        assert other.verdict is Verdict.HELD
        await other.keeper.async_save()
        assert (await table.async_read(PREFIX_HOLDS)).get(KEY) is None
        other.core.now_s += const.SAVE_STEP_S * 2
        await other.keeper.async_save()
        assert (await table.async_read(PREFIX_HOLDS)).get(KEY) is not None

    asyncio.run(async_test())


def test_a_hold_that_ended_does_not_come_back_with_an_older_store():
    async def async_test():
        table = RestoredTable()
        daemon = Daemon(table)
        await daemon.async_end(*PROCESSES)
        await daemon.keeper.async_save()
        copy = table.copy()
        daemon.quarantine.note_success(BAD)
        await daemon.keeper.async_save()
        table.restore_for(copy, daemon)
        assert daemon.verdict is Verdict.FREE
        await daemon.keeper.async_save()
        assert (await table.async_read(PREFIX_HOLDS)).get(KEY) is None

    asyncio.run(async_test())


def test_a_trial_that_an_older_store_has_lost_is_not_granted_again():
    async def async_test():
        table = RestoredTable()
        daemon, other = Daemon(table), Daemon(table, rank=1)
        await daemon.async_end(*PROCESSES)
        await daemon.keeper.async_save()
        copy = table.copy()
        daemon.unix_s = other.unix_s = const.HOLD_S + 1.0
        assert await daemon.keeper.async_claim_trial(BAD)
        await other.async_follow()
        table.restore_for(copy, daemon, other)
        assert other.verdict is Verdict.HELD
        await daemon.keeper.async_save()
        other.core.now_s += const.SAVE_STEP_S * 2
        await other.keeper.async_save()
        row = (await table.async_read(PREFIX_HOLDS)).get(KEY)
        assert msgspec.convert(row.value, Hold).trials == 1

    asyncio.run(async_test())


def test_a_trial_whose_claim_an_older_store_takes_by_chance_is_not_granted():
    async def async_test():
        table = RestoredTable()
        daemon = Daemon(table)
        await daemon.async_end(*PROCESSES)
        await daemon.keeper.async_save()
        daemon.unix_s = const.HOLD_S + 1.0
        read = table.async_read

        async def async_read(prefix, after_version=0):
            page = await read(prefix, after_version)
            table.restore(table.copy())
            return page

        table.async_read = async_read
        assert not await daemon.keeper.async_claim_trial(BAD)

    asyncio.run(async_test())


def test_a_request_that_is_held_again_stays_held_when_an_older_store_is_back():
    """That its former hold had ended says nothing against the present one."""

    async def async_test():
        table = RestoredTable()
        finder, other = Daemon(table), Daemon(table, rank=1)
        await finder.async_end(*PROCESSES)
        await finder.keeper.async_save()
        await other.async_follow()
        row = (await table.async_read(PREFIX_HOLDS)).get(KEY)
        other.quarantine.note_success(BAD)
        await other.keeper.async_save()
        assert other.verdict is Verdict.FREE
        table.table.commit(Transaction(WriteId("w"), (), (Write(KEY, row.value),)))
        await other.async_follow()
        assert other.verdict is Verdict.HELD
        table.restore_for(table.copy(), other)
        assert other.verdict is Verdict.HELD
        await other.keeper.async_save()
        assert (await table.async_read(PREFIX_HOLDS)).get(KEY) is not None

    asyncio.run(async_test())


def test_a_hold_that_was_lost_while_it_was_saved_is_written_again():
    """The answer to the write may arrive after the older store was read."""

    async def async_test():
        table = RestoredTable()
        daemon = Daemon(table)
        copy = table.copy()
        await daemon.async_end(*PROCESSES)
        transact = table.async_transact

        async def async_transact(transaction):
            commit = await transact(transaction)
            daemon.core.now_s += 1.0
            table.restore_for(copy, daemon)
            return commit

        table.async_transact = async_transact
        await daemon.keeper.async_save()
        table.async_transact = transact
        assert (await table.async_read(PREFIX_HOLDS)).get(KEY) is None
        await daemon.keeper.async_save()
        assert (await table.async_read(PREFIX_HOLDS)).get(KEY) is not None

    asyncio.run(async_test())
