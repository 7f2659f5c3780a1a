"""Tests for stored holds and for claims of trials."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from chutelink.cli.held import async_held
from chutelink.cli.output import ExitCode
from chutelink.entry.messages import decode_entry_message, encode_entry_message
from chutelink.exceptions import WriteOutcomeUnknown
from chutelink.ids import FIRST_ERA, EndpointId, Fingerprint, WriteId
from chutelink.quarantine import const
from chutelink.quarantine.model import BrokenRun, Hold, Verdict
from chutelink.quarantine.persistence import (
    PREFIX_COUNTS,
    PREFIX_HOLDS,
    QuarantinePersistence,
)
from chutelink.quarantine.probe import ProbeResult
from chutelink.quarantine.service import Quarantine
from chutelink.quarantine.web import QuarantineHandlers
from chutelink.settings import PlatformSection
from chutelink.store import Transaction, Write

from ..fakes import FakeTable, make_core
from .test_service import FixedProbe

BAD = Fingerprint("bad")
KEY = PREFIX_HOLDS + BAD
ENDPOINTS = tuple(f"i-{number}" for number in range(const.ENDINGS_TO_HOLD))


class Daemon:
    """A daemon's quarantine, with a store that is shared between daemons."""

    def __init__(self, table: FakeTable, rank: int = 0) -> None:
        self.table = table
        self.core = make_core(f"d{rank}")
        self.core.daemon.peer_key = "key"
        self.unix_s = 0.0
        self.quarantine = Quarantine(
            self.core, FixedProbe(ProbeResult.REFUSED), unix_clock=lambda: self.unix_s
        )
        self.persistence = QuarantinePersistence(
            self.core, table, self.quarantine, lambda: rank
        )

    @property
    def verdict(self) -> Verdict:
        return self.quarantine.verdict(BAD)

    async def async_break_runs(self, *endpoints: str) -> None:
        for endpoint in endpoints:
            run = BrokenRun(BAD, "GET a/b", EndpointId(endpoint), 1, "x:1", 0.0)
            await self.quarantine.async_note_broken(run)

    async def async_read_table(self) -> None:
        """Apply all rows, as the table watch does."""
        rows = (await self.table.async_read(PREFIX_HOLDS)).rows
        for row in rows:
            self.persistence.apply_row(row.key, row.value)


def test_stored_hold_reaches_a_daemon_that_starts_later():
    async def async_test():
        table = FakeTable()
        first, later = Daemon(table), Daemon(table)
        await first.async_break_runs(*ENDPOINTS)
        await first.persistence.async_save_pending()
        await later.async_read_table()
        assert later.verdict is Verdict.HELD

    asyncio.run(async_test())


def test_another_daemon_saves_a_hold_that_its_finder_did_not_save():
    async def async_test():
        table = FakeTable()
        finder, other = Daemon(table), Daemon(table, rank=2)
        sent = []
        finder.quarantine.send = sent.append
        await finder.async_break_runs(*ENDPOINTS)
        await asyncio.sleep(0.05)
        other.quarantine.apply_endings(sent[0], "d0")
        await other.persistence.async_save_pending()
        assert not (await table.async_read(PREFIX_HOLDS)).rows
        other.core.now_s += const.SAVE_RANK_DELAY_S * 3
        await other.persistence.async_save_pending()
        assert (await table.async_read(PREFIX_HOLDS)).get(KEY) is not None

    asyncio.run(async_test())


def test_hold_survives_a_store_outage():
    async def async_test():
        table = FakeTable()
        daemon = Daemon(table)
        await daemon.async_break_runs(*ENDPOINTS)
        table.is_out = True
        task = asyncio.ensure_future(
            daemon.persistence._async_save_loop.fun(daemon.persistence)
        )
        await asyncio.sleep(0.05)
        assert daemon.verdict is Verdict.HELD
        table.is_out = False
        async with asyncio.timeout(10):
            while not (await table.async_read(PREFIX_HOLDS)).rows:
                await asyncio.sleep(0.05)
        task.cancel()

    asyncio.run(async_test())


def test_successful_run_removes_the_row_and_clears_all_daemons():
    async def async_test():
        table = FakeTable()
        daemon, other = Daemon(table), Daemon(table)
        await daemon.async_break_runs(*ENDPOINTS)
        await daemon.persistence.async_save_pending()
        await other.async_read_table()
        daemon.quarantine.note_success(BAD)
        await daemon.persistence.async_save_pending()
        assert not [r for r in (await table.async_read(PREFIX_HOLDS)).rows if r.value]
        other.persistence.apply_row(KEY, None)
        assert other.verdict is Verdict.FREE

    asyncio.run(async_test())


def test_one_daemon_is_granted_the_trial_of_an_expired_hold():
    async def async_test():
        table = FakeTable()
        daemons = [Daemon(table, rank) for rank in range(3)]
        await daemons[0].async_break_runs(*ENDPOINTS)
        await daemons[0].persistence.async_save_pending()
        for daemon in daemons:
            await daemon.async_read_table()
            daemon.unix_s = const.FIRST_HOLD_S + 1
            assert daemon.verdict is Verdict.TRIAL
        claims = [d.persistence.async_claim_trial(BAD) for d in daemons]
        assert sum(await asyncio.gather(*claims)) == 1
        assert daemons[1].verdict is Verdict.HELD

    asyncio.run(async_test())


def test_no_trial_without_the_store():
    async def async_test():
        table = FakeTable()
        daemon = Daemon(table)
        await daemon.async_break_runs(*ENDPOINTS)
        daemon.unix_s = const.FIRST_HOLD_S + 1
        table.is_out = True
        assert not await daemon.persistence.async_claim_trial(BAD)

    asyncio.run(async_test())


def test_invalid_row_is_ignored():
    daemon = Daemon(FakeTable())
    for value in (7, "x", {"until_unix_s": "soon"}, [], {"endings": 3}):
        daemon.persistence.apply_row(KEY, value)
    assert daemon.verdict is Verdict.FREE


def test_rows_of_evicted_holds_are_removed_from_the_store():
    async def async_test():
        table = FakeTable()
        daemon = Daemon(table)
        hold = msgspec.to_builtins(Hold("GET a/b", (), const.FIRST_HOLD_S))
        for number in range(const.MAX_HOLDS + 60):
            key = f"{PREFIX_HOLDS}f{number}"
            table.table.commit(Transaction(WriteId(key), (), (Write(key, hold),)))
        await daemon.async_read_table()
        for _ in range(2):
            await daemon.persistence.async_save_pending()
        rows = (await table.async_read(PREFIX_HOLDS)).rows
        assert len([row for row in rows if row.value]) == const.MAX_HOLDS
        assert not daemon.persistence._has_pending_writes()

    asyncio.run(async_test())


def test_path_with_undecodable_bytes_can_be_sent_and_stored():
    """Undecodable bytes made the codec fail when they were sent or stored."""

    async def async_test():
        table = FakeTable()
        daemon = Daemon(table)
        sent = []
        daemon.quarantine.send = sent.append
        about = "GET a/\udcff\u20ac\x00" + "x" * 500
        for endpoint in ENDPOINTS:
            run = BrokenRun(BAD, about, EndpointId(endpoint), 1, "x:1", 0.0)
            await daemon.quarantine.async_note_broken(run)
        await asyncio.sleep(0.05)
        message = decode_entry_message(encode_entry_message(sent[0]), "d2")
        assert len(message.runs[0].about) <= const.MAX_ABOUT_CHARS
        hold = daemon.quarantine.table.holds()[BAD]
        assert msgspec.json.decode(msgspec.json.encode(hold), type=Hold) == hold

    asyncio.run(async_test())


def test_retry_delay_is_never_below_the_minimum():
    async def async_test():
        daemon = Daemon(FakeTable())
        await daemon.async_break_runs(*ENDPOINTS)
        for unix_s in (0.0, const.FIRST_HOLD_S - 0.01, const.FIRST_HOLD_S + 100.0):
            daemon.unix_s = unix_s
            assert daemon.quarantine.back_in_s(BAD) >= const.MIN_RETRY_AFTER_S

    asyncio.run(async_test())


class RestoredTable(FakeTable):
    """A table that can be restored from a backup and notifies the daemons."""

    def __init__(self) -> None:
        super().__init__()
        self.era = FIRST_ERA

    def restore_and_notify(self, copy, *daemons: Daemon) -> None:
        before = {key for key in self.table.rows if key.startswith(PREFIX_HOLDS)}
        self.restore(copy)
        rows = {k: r for k, r in self.table.rows.items() if k.startswith(PREFIX_HOLDS)}
        for daemon in daemons:
            daemon.persistence.note_restored(set(rows))
            for key in before - rows.keys():
                daemon.persistence.apply_row(key, None, is_restored=True)
            for key, row in rows.items():
                daemon.persistence.apply_row(key, row.value, is_restored=True)


def test_hold_missing_in_a_restored_store_is_kept_and_written_again():
    """Otherwise the request could terminate three more endpoints."""

    async def async_test():
        table = RestoredTable()
        finder, other = Daemon(table), Daemon(table, rank=1)
        copy = table.copy()
        await finder.async_break_runs(*ENDPOINTS)
        await finder.persistence.async_save_pending()
        await other.async_read_table()
        table.restore_and_notify(copy, other)
        assert other.verdict is Verdict.HELD
        await other.persistence.async_save_pending()
        assert (await table.async_read(PREFIX_HOLDS)).get(KEY) is None
        other.core.now_s += const.SAVE_RANK_DELAY_S * 2
        await other.persistence.async_save_pending()
        assert (await table.async_read(PREFIX_HOLDS)).get(KEY) is not None

    asyncio.run(async_test())


def test_cleared_hold_does_not_return_with_a_restored_store():
    async def async_test():
        table = RestoredTable()
        daemon = Daemon(table)
        await daemon.async_break_runs(*ENDPOINTS)
        await daemon.persistence.async_save_pending()
        copy = table.copy()
        daemon.quarantine.note_success(BAD)
        await daemon.persistence.async_save_pending()
        table.restore_and_notify(copy, daemon)
        assert daemon.verdict is Verdict.FREE
        await daemon.persistence.async_save_pending()
        assert (await table.async_read(PREFIX_HOLDS)).get(KEY) is None

    asyncio.run(async_test())


def test_trial_missing_in_a_restored_store_is_not_granted_again():
    async def async_test():
        table = RestoredTable()
        daemon, other = Daemon(table), Daemon(table, rank=1)
        await daemon.async_break_runs(*ENDPOINTS)
        await daemon.persistence.async_save_pending()
        copy = table.copy()
        daemon.unix_s = other.unix_s = const.FIRST_HOLD_S + 1.0
        assert await daemon.persistence.async_claim_trial(BAD)
        await other.async_read_table()
        table.restore_and_notify(copy, daemon, other)
        assert other.verdict is Verdict.HELD
        await daemon.persistence.async_save_pending()
        other.core.now_s += const.SAVE_RANK_DELAY_S * 2
        await other.persistence.async_save_pending()
        row = (await table.async_read(PREFIX_HOLDS)).get(KEY)
        assert msgspec.convert(row.value, Hold).trials == 1

    asyncio.run(async_test())


def test_trial_claim_committed_to_a_restored_store_is_not_granted():
    async def async_test():
        table = RestoredTable()
        daemon = Daemon(table)
        await daemon.async_break_runs(*ENDPOINTS)
        await daemon.persistence.async_save_pending()
        daemon.unix_s = const.FIRST_HOLD_S + 1.0
        read = table.async_read

        async def async_read(prefix, after_version=0):
            page = await read(prefix, after_version)
            table.restore(table.copy())
            return page

        table.async_read = async_read
        assert not await daemon.persistence.async_claim_trial(BAD)

    asyncio.run(async_test())


def test_request_held_again_stays_held_after_a_restore():
    """The end of the previous hold must not clear the current one."""

    async def async_test():
        table = RestoredTable()
        finder, other = Daemon(table), Daemon(table, rank=1)
        await finder.async_break_runs(*ENDPOINTS)
        await finder.persistence.async_save_pending()
        await other.async_read_table()
        row = (await table.async_read(PREFIX_HOLDS)).get(KEY)
        other.quarantine.note_success(BAD)
        await other.persistence.async_save_pending()
        assert other.verdict is Verdict.FREE
        table.table.commit(Transaction(WriteId("w"), (), (Write(KEY, row.value),)))
        await other.async_read_table()
        assert other.verdict is Verdict.HELD
        table.restore_and_notify(table.copy(), other)
        assert other.verdict is Verdict.HELD
        await other.persistence.async_save_pending()
        assert (await table.async_read(PREFIX_HOLDS)).get(KEY) is not None

    asyncio.run(async_test())


def test_hold_lost_by_a_restore_during_its_write_is_written_again():
    """The answer to the write may arrive after the restored store was read."""

    async def async_test():
        table = RestoredTable()
        daemon = Daemon(table)
        copy = table.copy()
        await daemon.async_break_runs(*ENDPOINTS)
        transact = table.async_transact

        async def async_transact(transaction):
            commit = await transact(transaction)
            daemon.core.now_s += 1.0
            table.restore_and_notify(copy, daemon)
            return commit

        table.async_transact = async_transact
        await daemon.persistence.async_save_pending()
        table.async_transact = transact
        assert (await table.async_read(PREFIX_HOLDS)).get(KEY) is None
        await daemon.persistence.async_save_pending()
        assert (await table.async_read(PREFIX_HOLDS)).get(KEY) is not None

    asyncio.run(async_test())


def test_released_hold_does_not_return_after_loss_of_the_daemon_that_released_it():
    async def async_test():
        table = FakeTable()
        releasing, other = Daemon(table), Daemon(table, rank=1)
        await releasing.async_break_runs(*ENDPOINTS)
        await releasing.persistence.async_save_pending()
        await other.async_read_table()
        releasing.quarantine.send = lambda message: other.quarantine.apply_cleared(
            message.fingerprint
        )
        releasing.quarantine.release(BAD, "operator")
        other.core.now_s += const.SAVE_RANK_DELAY_S * 3
        await other.persistence.async_save_pending()
        later = Daemon(table)
        await later.async_read_table()
        assert later.verdict is Verdict.FREE

    asyncio.run(async_test())


def test_hold_released_during_its_write_is_removed_from_the_store():
    async def async_test():
        table = FakeTable()
        daemon = Daemon(table)
        await daemon.async_break_runs(*ENDPOINTS)
        table.lose_replies = 1
        with pytest.raises(WriteOutcomeUnknown):
            await daemon.persistence.async_save_pending()
        daemon.quarantine.release(BAD, "operator")
        await daemon.persistence.async_save_pending()
        later = Daemon(table)
        await later.async_read_table()
        assert later.verdict is Verdict.FREE

    asyncio.run(async_test())


def test_request_held_again_is_not_removed_for_an_earlier_release():
    async def async_test():
        table = FakeTable()
        finder, other = Daemon(table), Daemon(table, rank=1)
        await finder.async_break_runs(*ENDPOINTS)
        await finder.persistence.async_save_pending()
        await other.async_read_table()
        other.quarantine.apply_cleared(BAD)
        await other.async_read_table()
        other.core.now_s += const.SAVE_RANK_DELAY_S * 3
        await other.persistence.async_save_pending()
        assert (await table.async_read(PREFIX_HOLDS)).get(KEY) is not None

    asyncio.run(async_test())


def test_release_is_confirmed_only_once_daemons_that_start_later_know_it():
    async def async_test():
        table = FakeTable()
        daemon = Daemon(table)
        await daemon.async_break_runs(*ENDPOINTS)
        await daemon.persistence.async_save_pending()
        app = web.Application()
        QuarantineHandlers(daemon.quarantine, "key").add_routes(app)
        settings = PlatformSection(url="http://x", key="key")
        async with TestServer(app) as server, aiohttp.ClientSession() as session:
            address = f"{server.host}:{server.port}"
            table.is_out = True
            unstored = await async_held(session, settings, address, BAD)
            assert unstored.code is ExitCode.UNKNOWN
            assert daemon.verdict is Verdict.FREE
            table.is_out = False
            stored = await async_held(session, settings, address, BAD)
            assert stored.code is ExitCode.OK
        later = Daemon(table)
        await later.async_read_table()
        assert later.verdict is Verdict.FREE

    asyncio.run(async_test())


def test_endings_before_repeated_losses_of_all_daemons_are_counted():
    """The operators allow three sends after the third endpoint has ended."""

    async def async_test():
        table = FakeTable()
        endings = 0
        for start in range(4):
            daemon = Daemon(table)
            await daemon.async_read_table()
            for number in range(const.ENDINGS_TO_HOLD - 1):
                if daemon.verdict is Verdict.FREE:
                    await daemon.async_break_runs(f"i-{start}-{number}")
                    endings += 1
            await daemon.persistence.async_save_pending()
        assert endings <= 2 * const.ENDINGS_TO_HOLD

    asyncio.run(async_test())


def test_count_of_a_request_that_ran_well_is_not_applied_again():
    async def async_test():
        table = FakeTable()
        finder, other = Daemon(table), Daemon(table, rank=1)
        await finder.async_break_runs(*ENDPOINTS[:-1])
        await finder.persistence.async_save_pending()
        row = (await table.async_read(PREFIX_COUNTS)).rows[0]
        for daemon in (finder, other):
            daemon.quarantine.release(BAD, "ran_well")
            daemon.quarantine.apply_cleared(BAD)
            daemon.persistence.apply_row(row.key, row.value)
            assert daemon.quarantine.table.get(BAD) is None
        await other.persistence.async_save_pending()
        assert (await table.async_read(PREFIX_COUNTS)).rows
        await finder.persistence.async_save_pending()
        assert not (await table.async_read(PREFIX_COUNTS)).rows

    asyncio.run(async_test())


def test_invalid_count_is_ignored():
    daemon = Daemon(FakeTable())
    daemon.persistence.apply_row(PREFIX_COUNTS + BAD, {"endings": 1})
    assert daemon.quarantine.table.get(BAD) is None


def test_count_is_stored_once_and_removed_when_the_request_is_held():
    async def async_test():
        table = FakeTable()
        daemon = Daemon(table)
        await daemon.async_break_runs(*ENDPOINTS[:-1])
        await daemon.persistence.async_save_pending()
        version = table.table.version
        await daemon.persistence.async_save_pending()
        assert table.table.version == version
        await daemon.async_break_runs(ENDPOINTS[-1])
        await daemon.persistence.async_save_pending()
        assert [r.key for r in (await table.async_read(PREFIX_HOLDS)).rows] == [KEY]

    asyncio.run(async_test())


def test_count_is_kept_until_the_hold_that_another_daemon_began_is_stored():
    async def async_test():
        table = FakeTable()
        finder, first = Daemon(table, rank=1), Daemon(table)
        await finder.async_break_runs(*ENDPOINTS[:-1])
        await finder.persistence.async_save_pending()
        for row in (await table.async_read(PREFIX_COUNTS)).rows:
            first.persistence.apply_row(row.key, row.value)
        sent = []
        finder.quarantine.send = sent.append
        await finder.async_break_runs(ENDPOINTS[-1])
        await asyncio.sleep(0.05)
        first.quarantine.apply_endings(sent[-1], "d1")
        assert first.verdict is Verdict.HELD
        await first.persistence.async_save_pending()
        assert (await table.async_read(PREFIX_COUNTS)).rows

    asyncio.run(async_test())
