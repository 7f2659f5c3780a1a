"""A daemon's copy of one of the store's tables. Pure.

A copy at version V holds what the table held at V. Own reads have every row that
changed after the version that they began from. News of others leave out what did not
change for their sender, so they fit only a copy of the version that the sender's was
of; any other copy leaves them and asks the store itself.
"""

from __future__ import annotations

from enum import Enum

from .news import StoredRow, StoreNews


class NewsFit(Enum):
    """Whether a copy may take the version of news."""

    FITS = "fits"
    OLD = "old"
    """The copy is of a later version."""
    GAP = "gap"
    """Changes between the copy and the news are not known."""
    OVERLAP = "overlap"
    """The copy is of a version within the changes that the news tell of.

    A row that changed there and back is left out by a sender that saw neither, and
    one of the two may be in this copy. The rows alone are not taken either: a copy
    with rows that are newer than its version would not tell others of them.
    """


class TableCopy:
    """The rows of one table, as of one version.

    Parameters
    ----------
    name : str
        The table.

    Attributes
    ----------
    version : int
        What is known is complete up to here; 0 before the first read.
    answered_s : float
        What the store's clock showed when this version was the newest one.
    rows : dict
        By key.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.version = 0
        self.answered_s = float("-inf")
        self.rows: dict[str, StoredRow] = {}

    def take_read(self, read: StoreNews) -> list[StoredRow]:
        """Take in an own read with all rows that it covers; return those that changed.

        News that arrived meanwhile may be of a later version; then nothing is taken.
        """
        if read.version < self.version:
            return []
        changed = self._put(read)
        self._advance(read)
        return changed

    def take_news(self, news: StoreNews) -> list[StoredRow]:
        """Take in what another daemon read; return the rows that changed."""
        if self.fit(news) is not NewsFit.FITS:
            return []
        changed = self._put(news)
        self._advance(news)
        return changed

    def fit(self, news: StoreNews) -> NewsFit:
        """Return whether this copy may take the version of news."""
        if news.version < self.version:
            return NewsFit.OLD
        if news.is_whole or news.version == self.version:
            return NewsFit.FITS
        if news.after > self.version:
            return NewsFit.GAP
        if news.after < self.version:
            return NewsFit.OVERLAP
        return NewsFit.FITS

    def as_news(self) -> StoreNews:
        """Return the whole table."""
        rows = list(self.rows.values())
        return StoreNews(self.name, 0, self.version, self.answered_s, rows)

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

        Whatever is taken is of no earlier version than the copy. The row's own version
        does not tell: it stays when the row is written anew with the same meaning.
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
        self.version = news.version
        self.answered_s = max(self.answered_s, news.answered_s)
