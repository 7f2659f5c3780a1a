"""Loops and tables of daemons that meet an unexpected exception."""

from __future__ import annotations

import ast
import asyncio
import gc
import time
from pathlib import Path
from types import SimpleNamespace

import pytest

import chutelink
from chutelink import steps
from chutelink.steps import async_run_step, contain_errors
from chutelink.watching.watch import StoreWatch

from .fakes import make_core
from .watching.test_watch import ScriptedTable


class EventRecorder:
    def __init__(self):
        self.events = []

    def error(self, event, **fields):
        self.events.append((event, fields))


def test_failed_step_is_logged_and_followed_by_a_pause():
    """Otherwise the exception ends the daemon, or the loop spins on it."""
    recorder, pauses = EventRecorder(), []

    async def async_sleep(pause_s):
        pauses.append(pause_s)

    service = SimpleNamespace(sleep=async_sleep)
    fail = [1].index
    asyncio.run(async_run_step(service, recorder, "a.step", lambda: fail(2)))
    asyncio.run(async_run_step(service, recorder, "a.step", lambda: None))
    ((event, fields),) = recorder.events
    assert (event, fields["step"]) == ("unexpected_error", "a.step")
    assert "ValueError" in fields["error"]
    assert pauses == [steps.FAILED_STEP_PAUSE_S]


def test_cancellation_is_not_contained():
    """A loop must end when its task is cancelled."""
    with pytest.raises(asyncio.CancelledError), contain_errors(None, "a.step", ""):
        raise asyncio.CancelledError


async def async_watch(table, on_row, monkeypatch):
    monkeypatch.setattr(steps, "FAILED_STEP_PAUSE_S", 0.01)
    core = make_core("d")
    core.clock = time.monotonic
    watch = StoreWatch(core, table, {"endpoints": 0.2}, lambda: 0, lambda message: None)
    watch.on_row = on_row
    await watch.start()
    await asyncio.sleep(0.3)
    crash = watch.crash_reason
    await watch.stop()
    return crash


def test_poll_goes_on_after_an_unexpected_exception(monkeypatch):
    """One such exception ended the poll, and with it the daemon."""

    class FailingTable(ScriptedTable):
        async def async_read(self, prefix, after_version=0):
            if not self.calls:
                self.calls += 1
                raise RecursionError
            return await super().async_read(prefix, after_version)

    table, seen = FailingTable(), []
    table.put("endpoints/a", {"x": 1})
    on_row = lambda change: seen.append(change.key)  # noqa: E731
    assert asyncio.run(async_watch(table, on_row, monkeypatch)) is None
    assert seen == ["endpoints/a"]


def test_row_that_cannot_be_applied_does_not_hide_the_others(monkeypatch):
    """The copy has all rows by then, so that those skipped are not reported again."""
    table, seen = ScriptedTable(), []

    def on_row(change):
        seen.append(change.key)
        if change.key == "endpoints/a":
            raise OverflowError

    for name in "ab":
        table.put(f"endpoints/{name}", {"x": 1})
    assert asyncio.run(async_watch(table, on_row, monkeypatch)) is None
    assert seen == ["endpoints/a", "endpoints/b"]


ENDING_TASKS = {"_async_join"}
"""Tasks that wait until the daemon is ready, and then end."""


def is_task(node):
    decorators = getattr(node, "decorator_list", [])
    return any(ast.unparse(part) == "Service.task" for part in decorators)


def test_loops_of_services_run_their_steps_with_the_helper():
    """An unexpected exception of any other task ends the daemon."""
    # A traceback that is formatted by a finalizer within ast.parse makes it fail.
    gc.collect()
    tasks = [
        (f"{path.name}:{node.name}", ast.unparse(node))
        for path in Path(chutelink.__file__).parent.rglob("*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if is_task(node) and node.name not in ENDING_TASKS
    ]
    assert len(tasks) > 10
    assert [name for name, code in tasks if "async_run_step" not in code] == []
