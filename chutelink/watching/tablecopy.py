"""A daemon's copy of one of the store's tables. Pure.

A copy at version V holds what the table held at V. A read has every change after the
version that it began from, in order. What others are told of it leaves out the rows
that meant the same all the while, so that it fits every copy of a version in between.

A store that comes back older begins another era, in which it gives out versions again.
Versions of two eras are never compared: a copy goes on to a later era with the whole
table alone.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from ..entry.news import StoredRow, StoreNews
from ..ids import NO_ERA


class NewsFit(Enum):
    """Whether a copy may take the version of news."""

    FITS = "fits"
    OLD = "old"
    """The copy is of a later version, or of a later era."""
    GAP = "gap"
    """Changes between the copy and the news are not known."""


class TableCopy:
    """The rows of one table, as of one version.

    Parameters
    ----------
    name : str
        The table.

    Attributes
    ----------
    era : StoreEra
        The era of the store that ``version`` is of.
    version : int
        What is known is complete up to here; 0 before the first read.
    answered_s : float
        What the store's clock showed when this version was the newest one.
    rows : dict
        By key.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.era = NO_ERA
        self.version = 0
        self.answered_s = float("-inf")
        self.rows: dict[str, StoredRow] = {}

    def take_read(self, read: StoreNews) -> list[StoredRow]:
        """Take in an own read with all rows that it covers; return those that changed.

        News that arrived meanwhile may be of a later version; then nothing is taken.
        """
        return self.take_news(read)

    def take_news(self, news: StoreNews) -> list[StoredRow]:
        """Take in what another daemon read; return the rows that changed."""
        if self.fit(news) is not NewsFit.FITS:
            return []
        changed = self._put(news)
        self._advance(news)
        return changed

    def fit(self, news: StoreNews) -> NewsFit:
        """Return whether this copy may take the version of news."""
        if (news.era, news.version) < (self.era, self.version):
            return NewsFit.OLD
        if news.era > self.era:
            return NewsFit.FITS if news.is_whole else NewsFit.GAP
        if news.is_whole or news.version == self.version:
            return NewsFit.FITS
        return NewsFit.GAP if news.after > self.version else NewsFit.FITS

    def make_news(self, read: StoreNews, before: dict[str, StoredRow]) -> StoreNews:
        """Return what to tell others of an own read that was taken in.

        ``before`` are the rows as they were when the read began. A row that changed
        there and back is told too: a copy of a version in between has the other state.
        """
        if read.is_whole:
            return self.as_news()
        values = {key: row.value for key, row in before.items()}
        changed: dict[str, StoredRow] = {}
        for row in read.rows:
            if row.key in changed or values.get(row.key) != row.value:
                changed[row.key] = row
            values[row.key] = row.value
        return msgspec.structs.replace(read, rows=list(changed.values()))

    def as_news(self) -> StoreNews:
        """Return the whole table."""
        rows = list(self.rows.values())
        return StoreNews(self.name, 0, self.version, self.answered_s, rows, self.era)

    def _put(self, news: StoreNews) -> list[StoredRow]:
        # A read has every change in order; of a row that changed twice the last counts.
        latest = {row.key: row for row in news.rows}
        changed = [row for row in latest.values() if self._is_changed(row)]
        if news.is_whole:
            changed += self._missing(news)
        for row in changed:
            if row.value is None:
                del self.rows[row.key]
            else:
                self.rows[row.key] = row
        return changed

    def _is_changed(self, row: StoredRow) -> bool:
        """Return whether a row means something else than the known one.

        Whatever is taken is of no earlier version than the copy, or of a later era.
        The row's own version does not tell: it stays when the row is written anew with
        the same meaning.
        """
        known = self.rows.get(row.key)
        if known is None:
            return row.value is not None
        return row.value != known.value

    def _missing(self, news: StoreNews) -> list[StoredRow]:
        present = {row.key for row in news.rows}
        return [
            StoredRow(key, news.version, None) for key in self.rows.keys() - present
        ]

    def _advance(self, news: StoreNews) -> None:
        if news.era > self.era:
            # The store's clock may have begun anew too.
            self.answered_s = news.answered_s
        self.era = news.era
        self.version = news.version
        self.answered_s = max(self.answered_s, news.answered_s)
