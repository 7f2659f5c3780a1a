"""Which failure domains are evacuated, and holding requests after a suspension."""

from __future__ import annotations

import pytest

from chutelink.evacuation.suspension import MAX_HOLD_S, SuspensionGate
from chutelink.evacuation.table import EvacuationTable
from chutelink.platform.adapter import PreparedMachinesAdapter
from chutelink.store import UNREADABLE
from chutelink.watching.table_state import RowChange, TableFreshness

from ..fakes import make_core

ADAPTER = PreparedMachinesAdapter()


@pytest.mark.parametrize("value", [{}, {"x": 1}, UNREADABLE, [], "x", False])
def test_domain_is_evacuated_until_its_own_row_is_removed(value):
    """Guards against a row that can't be decoded, and an end that ends them all."""
    table, ended = EvacuationTable(make_core()), []
    table.on_ended = ended.append
    for name, content in [("c", None), ("b", {}), ("a", value), ("b", None)]:
        key = f"config/evacuate/{name}"
        kept = None if content is None else ADAPTER.compact_row(key, content)
        table.apply_row(ADAPTER.decode_evacuated_domain(key), RowChange(key, kept))
    assert table.domains == {"a"}
    assert ended == ["b"]


def test_requests_are_held_until_the_store_is_read_or_fails():
    """Guards against use of old evacuations, and against a daemon that stays silent."""
    core, failing, knowledge = make_core(), [], [TableFreshness(7, 60.0)]
    gate = SuspensionGate(core, lambda: knowledge[-1], lambda: bool(failing), 4.0)
    assert gate.is_outdated()
    core.now_s += MAX_HOLD_S
    assert not gate.is_outdated()
    knowledge.append(TableFreshness(8, 60.0))
    assert gate.is_outdated()
    failing.append(True)
    assert not gate.is_outdated()
