"""What is stored of streams, and when it is removed."""

from __future__ import annotations

import asyncio

import pytest

from chutelink.entry.endpoints import EndpointTable
from chutelink.ids import FIRST_ERA, BootId
from chutelink.origins.const import (
    MAX_ROW_BYTES,
    RETENTION_S,
    SAVE_STREAMS_PERIOD_S,
    STORE_RETRY_S,
)
from chutelink.origins.manager import OriginManager
from chutelink.origins.messages import BegunStreams, StreamOrigin
from chutelink.origins.persistence import OriginPersistence
from chutelink.origins.stored import PREFIX_STREAMS
from chutelink.origins.stream_store import StreamStore
from chutelink.store import UNREADABLE, Transaction, Write

from ..fakes import FakeRegistrations, FakeTable, make_core


class Recorder:
    """A daemon that stores streams."""

    def __init__(self, table, boot_id="boot-1", rank=0):
        self.core = make_core()
        self.core.boot_id = BootId(boot_id)
        self.table = table
        self.manager = OriginManager(self.core, EndpointTable().versions)
        self.store = StreamStore(
            self.core, table, self.manager, lambda: rank, lambda: table.era
        )

    def report(self, *begun, ended=(), version="v1"):
        origins = [StreamOrigin(request, "llm", version) for request in begun]
        self.manager.handle_message(BegunStreams("boot-9", origins, list(ended), False))

    def save(self, after_s=SAVE_STREAMS_PERIOD_S):
        self.core.now_s += after_s
        asyncio.run(self.store.async_save_if_due())


def stored(table):
    return [
        request
        for key in sorted(table.table.rows)
        if key.startswith(PREFIX_STREAMS)
        for versions in table.table.rows[key].value["services"].values()
        for requests in versions.values()
        for request in requests
    ]


def load_manager(table):
    """Return the streams and versions that a new daemon has read."""
    core = make_core("d2")
    versions = EndpointTable().versions
    manager = OriginManager(core, versions)
    persistence = OriginPersistence(
        core,
        table,
        manager,
        lambda: 0,
        lambda: table.era,
        FakeRegistrations(table, versions),
    )
    asyncio.run(persistence.async_load())
    return manager


def load(table):
    """Return the software version of each stream that a new daemon knows."""
    manager = load_manager(table)
    found = asyncio.run(async_find_all(manager, stored(table)))
    return {request: lookup.origin.version for request, lookup in found.items()}


async def async_find_all(manager, requests):
    return {request: await manager.async_find(request, "llm") for request in requests}


def test_streams_are_stored_and_known_to_a_daemon_that_starts():
    table = FakeTable()
    recorder = Recorder(table)
    recorder.report("q1", "q2")
    recorder.report("q3", version="v2")
    recorder.save()
    assert load(table) == {"q1": "v1", "q2": "v1", "q3": "v2"}


def test_changes_are_written_at_most_once_a_period():
    table = FakeTable()
    recorder = Recorder(table)
    recorder.report("q1")
    recorder.save()
    recorder.report("q2")
    recorder.save(SAVE_STREAMS_PERIOD_S / 2)
    assert stored(table) == ["q1"]
    recorder.save()
    assert set(stored(table)) == {"q1", "q2"}
    version = table.table.version
    recorder.save()
    assert table.table.version == version


def test_row_is_removed_once_all_streams_have_ended_or_expired():
    table = FakeTable()
    recorder = Recorder(table)
    recorder.report("q1", "q2")
    recorder.save()
    recorder.report(ended=["q1", "q2"])
    recorder.save()
    assert not table.table.rows
    recorder.report("q3")
    recorder.save()
    recorder.save(RETENTION_S + 1.0)
    assert not table.table.rows


def test_many_streams_are_divided_among_rows():
    table = FakeTable()
    recorder = Recorder(table)
    requests = [f"{number:0100}" for number in range(MAX_ROW_BYTES // 50)]
    recorder.report(*requests)
    recorder.save()
    assert len(table.table.rows) > 1
    assert sorted(stored(table)) == requests
    recorder.report(ended=requests[1:])
    recorder.save(10.0)
    assert stored(table) == requests[:1]


@pytest.mark.parametrize("fault", ["out", "lost", "late"])
def test_write_that_fails_is_repeated(fault):
    table = FakeTable()
    recorder = Recorder(table)
    recorder.report("q1")
    table.is_out = fault == "out"
    table.lose_replies = fault == "lost"
    table.late_writes = fault == "late"
    recorder.save()
    table.is_out = False
    recorder.report("q2")
    recorder.save(STORE_RETRY_S)
    assert set(stored(table)) == {"q1", "q2"}


def test_delayed_write_does_not_replace_a_newer_row():
    table = FakeTable()
    recorder = Recorder(table)
    recorder.report("q1")
    recorder.save()
    table.late_writes = 1
    recorder.report(ended=["q1"])
    recorder.report("q2")
    recorder.save()
    recorder.report("q3")
    recorder.save(STORE_RETRY_S)
    table.deliver_late()
    assert set(stored(table)) == {"q2", "q3"}


def test_streams_are_stored_again_after_a_store_restore():
    table = FakeTable()
    table.era = FIRST_ERA
    copy = table.copy()
    recorder = Recorder(table)
    recorder.report("q1")
    recorder.save()
    table.restore(copy)
    recorder.save()
    assert stored(table) == ["q1"]


def test_store_restore_without_streams_causes_no_calls():
    """Guards against a daemon that reads the restored store again and again."""
    table = FakeTable()
    table.era = FIRST_ERA
    recorder = Recorder(table)
    recorder.report("q1")
    recorder.save()
    recorder.report(ended=["q1"])
    recorder.save()
    table.restore(table.copy())
    recorder.save()
    table.is_out = True
    recorder.save()
    assert recorder.store._row_versions == {}


def test_rows_of_ended_processes_are_removed_by_one_daemon():
    table = FakeTable()
    old = Recorder(table, "boot-0")
    old.report("q1")
    old.save()
    first, second = Recorder(table, "boot-1"), Recorder(table, "boot-2", rank=1)
    first.report("q2")
    first.save()
    for _ in range(3):
        asyncio.run(second.store.async_remove_old())
    assert set(stored(table)) == {"q1", "q2"}
    asyncio.run(first.store.async_remove_old())
    assert set(stored(table)) == {"q1", "q2"}
    asyncio.run(first.store.async_remove_old())
    assert stored(table) == ["q2"]


def test_row_of_a_process_that_still_writes_is_kept():
    table = FakeTable()
    other, first = Recorder(table, "boot-0"), Recorder(table, "boot-1")
    other.report("q1")
    other.save()
    asyncio.run(first.store.async_remove_old())
    other.report("q2")
    other.save()
    asyncio.run(first.store.async_remove_old())
    assert set(stored(table)) == {"q1", "q2"}


def test_unreadable_row_does_not_hide_the_others():
    table = FakeTable()
    recorder = Recorder(table)
    recorder.report("q1")
    recorder.save()
    key = f"{PREFIX_STREAMS}boot-8/0"
    table.table.commit(Transaction("w", (), (Write(key, UNREADABLE),)))
    manager = load_manager(table)
    lookup = asyncio.run(manager.async_find("q1", "llm"))
    assert lookup.origin.version == "v1"
