"""Consistency of table copies that exchange updates, with messages lost.

Guards against a copy that adopts the version of an update without having all changes
up to it. A daemon that had missed one message adopted the version of a full table of
which it was sent only the differences, and kept using a replaced registration. No
effect on users was seen in simulations.
"""

from __future__ import annotations

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from chutelink.entry.messages import StoredRow, StoreUpdate
from chutelink.watching.tablecopy import TableCopy, UpdateStatus

TABLE = "t"
COPIES = 3
KEY = st.sampled_from(["a", "b", "c"])
COPY_INDEX = st.integers(0, COPIES - 1)


def table_update(after, version, *rows):
    return StoreUpdate(TABLE, after, version, float(version), list(rows))


def make_copy(version, *rows):
    copy = TableCopy(TABLE)
    copy.apply_read(table_update(0, version, *rows))
    return copy


def test_full_table_removes_missing_rows():
    copy = make_copy(5, StoredRow("a", 4, "x"), StoredRow("b", 5, "y"))
    changed = copy.apply(table_update(0, 9, StoredRow("a", 4, "x")))
    assert changed == [StoredRow("b", 9, None)]
    assert list(copy.rows) == ["a"]


def test_older_update_does_not_refresh_copy():
    copy = make_copy(5, StoredRow("a", 4, "x"))
    previous_answered_s = copy.answered_s
    assert copy.status_of(table_update(3, 4)) is UpdateStatus.OUTDATED
    assert copy.apply(StoreUpdate(TABLE, 3, 4, 99.0)) == []
    assert copy.answered_s == previous_answered_s


def test_reverted_row_is_included_in_update():
    """A copy of a version in between has the other value, others never had it."""
    reader = make_copy(5, StoredRow("a", 4, "x"), StoredRow("b", 5, "x"))
    other = make_copy(5, StoredRow("a", 4, "x"), StoredRow("b", 5, "x"))
    other.apply_read(table_update(5, 7, StoredRow("a", 7, "y")))
    before = dict(reader.rows)
    heartbeat = StoredRow("b", 6, "x")
    read = table_update(5, 8, heartbeat, StoredRow("a", 7, "y"), StoredRow("a", 8, "x"))
    assert reader.apply_read(read) == []
    sent = reader.make_update(read, before)
    assert sent.rows == [StoredRow("a", 7, "y"), StoredRow("a", 8, "x")]
    assert make_copy(5).superseded_rows(sent) == [StoredRow("a", 7, "y")]
    assert other.superseded_rows(sent) == []
    assert other.apply(sent) == [StoredRow("a", 8, "x")]


def test_removal_of_a_row_that_was_never_read_shows_that_a_value_is_missing():
    copy = make_copy(5, StoredRow("a", 4, "x"))
    removal = StoredRow("b", 7, None)
    assert copy.has_unread_values(table_update(5, 7, removal))
    assert not copy.has_unread_values(table_update(5, 7, StoredRow("a", 7, None)))
    came = StoredRow("b", 6, "y")
    assert not copy.has_unread_values(table_update(5, 7, came, removal))
    copy.apply(table_update(5, 7, removal))
    assert not copy.has_unread_values(table_update(6, 8, removal))


def test_changes_received_during_read_are_included_in_update():
    """A copy at the base version of the read may not have received them."""
    reader = make_copy(5, StoredRow("a", 4, "x"))
    before = dict(reader.rows)
    reader.apply(table_update(5, 7, StoredRow("a", 7, "y")))
    read = table_update(5, 8, StoredRow("a", 7, "y"), StoredRow("a", 8, "y"))
    reader.apply_read(read)
    other = make_copy(6, StoredRow("a", 4, "x"))
    other.apply(reader.make_update(read, before))
    assert other.rows["a"].value == "y"


def test_full_table_replaces_rows_with_lower_row_version():
    """The sender did not see the row change and change back, so its version is old."""
    copy = make_copy(5, StoredRow("a", 4, "x"))
    copy.apply_read(table_update(5, 7, StoredRow("a", 6, "y")))
    copy.apply(table_update(0, 9, StoredRow("a", 4, "x")))
    assert copy.rows["a"].value == "x"


def test_last_change_of_row_in_read_wins():
    """A read has several changes of a row, and the copy already has the last one.

    The first was applied as a change and the last was not, so a leaving endpoint got
    requests again: 14 on 2 of 17 simulated days with leaving endpoints.
    """
    copy = make_copy(5, StoredRow("a", 4, "ready"))
    copy.apply(table_update(5, 8, StoredRow("a", 8, "draining")))
    read = table_update(5, 9, StoredRow("a", 7, "ready"), StoredRow("a", 8, "draining"))
    assert copy.apply_read(read) == []
    assert copy.rows["a"].value == "draining"


def test_full_table_of_later_era_replaces_lost_rows():
    copy = make_copy(5, StoredRow("a", 2, "x"), StoredRow("b", 5, "y"))
    older = StoreUpdate(TABLE, 0, 3, 1.0, [StoredRow("a", 3, "z")], 1)
    assert copy.apply(older) == [StoredRow("a", 3, "z"), StoredRow("b", 3, None)]
    assert (copy.era, copy.version, copy.answered_s) == (1, 3, 1.0)


def test_changes_of_another_era_are_not_applied():
    """Versions are reused in a new era: the same number denotes another state."""
    copy = make_copy(5, StoredRow("a", 5, "x"))
    later = StoreUpdate(TABLE, 5, 6, 6.0, [StoredRow("b", 6, "y")], 1)
    assert copy.status_of(later) is UpdateStatus.GAP
    copy.apply(StoreUpdate(TABLE, 0, 2, 7.0, [StoredRow("a", 2, "z")], 1))
    assert copy.status_of(table_update(0, 9)) is UpdateStatus.OUTDATED


class TableCopyMachine(RuleBasedStateMachine):
    """A table with a history, whose copies read it and exchange updates in any order.

    The table can be restored to an earlier version, and then reuses versions in a new
    era.
    """

    @initialize()
    def begin(self):
        self.era = 1
        self.version = 1
        self.rows = {"a": StoredRow("a", 1, "x")}
        self.changes = [self.rows["a"]]
        self.history = {(1, 1): dict(self.rows)}
        self.copies = [TableCopy(TABLE) for _ in range(COPIES)]
        self.latest = [(0, 0)] * COPIES
        self.open_reads = []
        self.in_flight = []

    @rule(key=KEY, value=st.sampled_from(["x", "y", None]))
    def write(self, key, value):
        """Write a row, possibly with an equal value, as heartbeats do."""
        self.version += 1
        row = StoredRow(key, self.version, value)
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = row
        self.changes.append(row)
        self.history[self.era, self.version] = dict(self.rows)

    @rule(lost_versions=st.integers(0, 4))
    def restore(self, lost_versions):
        version = max(1, self.version - lost_versions)
        kept = {
            number: rows
            for (era, number), rows in self.history.items()
            if era == self.era and number <= version
        }
        self.era += 1
        self.version = version
        self.rows = dict(kept[version])
        self.changes = [row for row in self.changes if row.version <= version]
        self.history |= {(self.era, number): rows for number, rows in kept.items()}

    @rule(copy_index=COPY_INDEX, is_whole=st.booleans())
    def begin_read(self, copy_index, is_whole):
        copy = self.copies[copy_index]
        after = 0 if is_whole or copy.era != self.era else copy.version
        changes = self.changes if after else self.rows.values()
        read = [row for row in changes if row.version > after]
        answer = table_update(after, self.version, *read)
        answer = msgspec.structs.replace(answer, era=self.era)
        self.open_reads.append((copy_index, answer, dict(copy.rows)))

    @rule(index=st.integers(0, 5))
    def end_read(self, index):
        if index >= len(self.open_reads):
            return
        copy_index, read, before = self.open_reads.pop(index)
        copy = self.copies[copy_index]
        is_first = not copy.version
        if copy.status_of(read) is not UpdateStatus.APPLICABLE:
            return
        copy.apply_read(read)
        if not is_first:
            self.in_flight.append(copy.make_update(read, before))

    @rule(copy_index=COPY_INDEX, key=KEY, is_sent=st.booleans())
    def write_and_read(self, copy_index, key, is_sent):
        """Write and read in one step; the reader's update may get lost."""
        self.write(key, f"v{self.era}.{self.version}")
        self.begin_read(copy_index, is_whole=False)
        sent = len(self.in_flight)
        self.end_read(len(self.open_reads) - 1)
        if not is_sent:
            del self.in_flight[sent:]

    @rule(index=st.integers(0, 5), copy_index=COPY_INDEX, is_lost=st.booleans())
    def deliver(self, index, copy_index, is_lost):
        if index >= len(self.in_flight):
            return
        self.copies[copy_index].apply(self.in_flight[index])
        if is_lost:
            self.in_flight.pop(index)

    @invariant()
    def copies_never_revert(self):
        for copy_index, copy in enumerate(getattr(self, "copies", ())):
            assert (copy.era, copy.version) >= self.latest[copy_index]
            self.latest[copy_index] = (copy.era, copy.version)

    @invariant()
    def copies_match_table_history(self):
        for copy in getattr(self, "copies", ()):
            if copy.version:
                known = {key: row.value for key, row in copy.rows.items()}
                held = self.history[copy.era, copy.version]
                assert known == {key: row.value for key, row in held.items()}


TableCopyMachine.TestCase.settings = settings(max_examples=500, stateful_step_count=40)
TestTableCopies = TableCopyMachine.TestCase
