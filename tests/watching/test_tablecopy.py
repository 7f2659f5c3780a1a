"""Copies of a table that tell each other what they read, whatever gets lost.

What users saw of it in plays: nothing yet. A daemon that had missed one message took
the version of a whole table of which it was sent the differences alone, and went on
using a registration that had been replaced.
"""

from __future__ import annotations

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from chutelink.entry.news import StoredRow, StoreNews
from chutelink.watching.tablecopy import NewsFit, TableCopy

TABLE = "t"
COPIES = 3
KEY = st.sampled_from(["a", "b", "c"])
WHO = st.integers(0, COPIES - 1)


def news(after, version, *rows):
    return StoreNews(TABLE, after, version, float(version), list(rows))


def make_copy(version, *rows):
    copy = TableCopy(TABLE)
    copy.take_read(news(0, version, *rows))
    return copy


def test_a_whole_table_removes_what_it_does_not_have():
    copy = make_copy(5, StoredRow("a", 4, "x"), StoredRow("b", 5, "y"))
    changed = copy.take_news(news(0, 9, StoredRow("a", 4, "x")))
    assert changed == [StoredRow("b", 9, None)]
    assert list(copy.rows) == ["a"]


def test_older_news_are_not_taken_for_recent():
    copy = make_copy(5, StoredRow("a", 4, "x"))
    before_s = copy.answered_s
    assert copy.fit(news(3, 4)) is NewsFit.OLD
    assert copy.take_news(StoreNews(TABLE, 3, 4, 99.0)) == []
    assert copy.answered_s == before_s


def test_a_row_that_changed_there_and_back_is_told():
    """A copy of a version in between has the other state."""
    reader = make_copy(5, StoredRow("a", 4, "x"), StoredRow("b", 5, "x"))
    other = make_copy(5, StoredRow("a", 4, "x"), StoredRow("b", 5, "x"))
    other.take_read(news(5, 7, StoredRow("a", 7, "y")))
    before = dict(reader.rows)
    beat = StoredRow("b", 6, "x")
    read = news(5, 8, beat, StoredRow("a", 7, "y"), StoredRow("a", 8, "x"))
    assert reader.take_read(read) == []
    told = reader.make_news(read, before)
    assert told.rows == [StoredRow("a", 8, "x")]
    assert other.take_news(told) == [StoredRow("a", 8, "x")]


def test_what_others_told_while_a_read_was_open_is_told_with_it():
    """A copy of the version that the read began from has not heard of it."""
    reader = make_copy(5, StoredRow("a", 4, "x"))
    before = dict(reader.rows)
    reader.take_news(news(5, 7, StoredRow("a", 7, "y")))
    read = news(5, 8, StoredRow("a", 7, "y"), StoredRow("a", 8, "y"))
    reader.take_read(read)
    other = make_copy(6, StoredRow("a", 4, "x"))
    other.take_news(reader.make_news(read, before))
    assert other.rows["a"].value == "y"


def test_a_whole_table_tells_of_rows_that_were_written_anew():
    """Its sender did not see the change there and back, so the row's version is old."""
    copy = make_copy(5, StoredRow("a", 4, "x"))
    copy.take_read(news(5, 7, StoredRow("a", 6, "y")))
    copy.take_news(news(0, 9, StoredRow("a", 4, "x")))
    assert copy.rows["a"].value == "x"


def test_a_read_with_several_changes_of_a_row_ends_with_the_last():
    """The store's feed has each change in order; others had told of the last one.

    The first was taken for a change and the last not, and a leaving endpoint got
    requests again: 14 on 2 of 17 days of leaving endpoints.
    """
    copy = make_copy(5, StoredRow("a", 4, "ready"))
    copy.take_news(news(5, 8, StoredRow("a", 8, "draining")))
    read = news(5, 9, StoredRow("a", 7, "ready"), StoredRow("a", 8, "draining"))
    assert copy.take_read(read) == []
    assert copy.rows["a"].value == "draining"


def test_a_table_of_an_older_store_replaces_what_it_had_lost():
    copy = make_copy(5, StoredRow("a", 2, "x"), StoredRow("b", 5, "y"))
    older = StoreNews(TABLE, 0, 3, 1.0, [StoredRow("a", 3, "z")], 1)
    assert copy.take_news(older) == [StoredRow("a", 3, "z"), StoredRow("b", 3, None)]
    assert (copy.era, copy.version, copy.answered_s) == (1, 3, 1.0)


def test_changes_of_another_era_do_not_continue_a_copy():
    """Versions are given out again: the same number names another state."""
    copy = make_copy(5, StoredRow("a", 5, "x"))
    later = StoreNews(TABLE, 5, 6, 6.0, [StoredRow("b", 6, "y")], 1)
    assert copy.fit(later) is NewsFit.GAP
    copy.take_news(StoreNews(TABLE, 0, 2, 7.0, [StoredRow("a", 2, "z")], 1))
    assert copy.fit(news(0, 9)) is NewsFit.OLD


class CopiesMachine(RuleBasedStateMachine):
    """A table with a history; copies read it and tell each other in any order.

    It comes back older, and gives out versions again, in a later era.
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
        self.begun = []
        self.on_way = []

    @rule(key=KEY, value=st.sampled_from(["x", "y", None]))
    def write(self, key, value):
        """Also signs of life, which write the same value anew."""
        self.version += 1
        row = StoredRow(key, self.version, value)
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = row
        self.changes.append(row)
        self.history[self.era, self.version] = dict(self.rows)

    @rule(lost=st.integers(0, 4))
    def restore(self, lost):
        version = max(1, self.version - lost)
        lasting = {
            number: rows
            for (era, number), rows in self.history.items()
            if era == self.era and number <= version
        }
        self.era += 1
        self.version = version
        self.rows = dict(lasting[version])
        self.changes = [row for row in self.changes if row.version <= version]
        self.history |= {(self.era, number): rows for number, rows in lasting.items()}

    @rule(who=WHO, is_whole=st.booleans())
    def begin_read(self, who, is_whole):
        copy = self.copies[who]
        after = 0 if is_whole or copy.era != self.era else copy.version
        changes = self.changes if after else self.rows.values()
        read = [row for row in changes if row.version > after]
        answer = news(after, self.version, *read)
        answer = msgspec.structs.replace(answer, era=self.era)
        self.begun.append((who, answer, dict(copy.rows)))

    @rule(index=st.integers(0, 5))
    def end_read(self, index):
        if index >= len(self.begun):
            return
        who, read, before = self.begun.pop(index)
        copy = self.copies[who]
        is_first = not copy.version
        if copy.fit(read) is not NewsFit.FITS:
            return
        copy.take_read(read)
        if not is_first:
            self.on_way.append(copy.make_news(read, before))

    @rule(who=WHO, key=KEY, is_told=st.booleans())
    def write_and_read(self, who, key, is_told):
        """Do the usual in one step; what the reader tells may get lost."""
        self.write(key, f"v{self.era}.{self.version}")
        self.begin_read(who, is_whole=False)
        told = len(self.on_way)
        self.end_read(len(self.begun) - 1)
        if not is_told:
            del self.on_way[told:]

    @rule(index=st.integers(0, 5), who=WHO, is_lost=st.booleans())
    def deliver(self, index, who, is_lost):
        if index >= len(self.on_way):
            return
        self.copies[who].take_news(self.on_way[index])
        if is_lost:
            self.on_way.pop(index)

    @invariant()
    def copies_never_go_back(self):
        for who, copy in enumerate(getattr(self, "copies", ())):
            assert (copy.era, copy.version) >= self.latest[who]
            self.latest[who] = (copy.era, copy.version)

    @invariant()
    def copies_hold_what_the_table_held(self):
        for copy in getattr(self, "copies", ()):
            if copy.version:
                known = {key: row.value for key, row in copy.rows.items()}
                held = self.history[copy.era, copy.version]
                assert known == {key: row.value for key, row in held.items()}


CopiesMachine.TestCase.settings = settings(max_examples=500, stateful_step_count=40)
TestCopies = CopiesMachine.TestCase
