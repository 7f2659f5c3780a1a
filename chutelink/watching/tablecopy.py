"""A daemon's copy of one of the store's tables. Does no I/O.

A copy at version V holds what the table held at V. A read contains every change after
its base version, in order. The update sent to other daemons omits what didn't change a
row's value, and applies to a copy of any version between base and end of the read.

A store that is restored from a backup begins a new era, in which it assigns version
numbers again. Versions of two eras are never compared: only a full table moves a copy
to a later era.

The backup may lack rows that were written after it was made. Some rows must not end
because of that: they are kept until their removal is read, or for ``KEPT_ROW_S`` after
the restoration. Updates for other daemons contain them, also for those that never read
them in the earlier era.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import msgspec

from ..entry.messages import StoredRow, StoreUpdate
from ..ids import NO_ERA

KEPT_ROW_S = 600.0
"""How long a row stays in force that a restored store lacks.

Operators write again what the store has lost. A row that was removed while no daemon
reached the store can't be told from a lost one, and must not stay in force forever.
"""


class UpdateStatus(Enum):
    """Whether an update can be applied to a copy."""

    APPLICABLE = "fits"
    OUTDATED = "old"
    """The copy has a later version, or is of a later era."""
    GAP = "gap"
    """Changes between the copy and the update are missing."""


class TableCopy:
    """The rows of one table at one version.

    Parameters
    ----------
    name : str
        Name of the table.
    outlasts_restore : callable, optional
        Returns whether a row with a given key is kept if a restored store lacks it.

    Attributes
    ----------
    era : StoreEra
        The era of the store to which ``version`` belongs.
    version : int
        The copy contains all changes up to this version; 0 before the first read.
    answered_s : float
        Latest time, on the store's clock, at which this version was known to be the
        newest one.
    rows : dict
        Rows by key, including those that are kept.
    kept_until_s : dict
        Keys of the kept rows, with times of the store's clock until which they are
        kept.
    """

    def __init__(
        self, name: str, outlasts_restore: Callable[[str], bool] = lambda key: False
    ) -> None:
        self.name = name
        self._outlasts_restore = outlasts_restore
        self.kept_until_s: dict[str, float] = {}
        self.era = NO_ERA
        self.version = 0
        self.answered_s = float("-inf")
        self.rows: dict[str, StoredRow] = {}

    def apply_read(self, read: StoreUpdate) -> list[StoredRow]:
        """Apply a read by this daemon, and return the rows that changed.

        Nothing is applied if an update of a later version arrived during the read.
        """
        return self.apply(read)

    def apply(self, update: StoreUpdate) -> list[StoredRow]:
        """Apply an update if it is applicable, and return the rows that changed."""
        if self.status_of(update) is not UpdateStatus.APPLICABLE:
            return []
        changed = self._apply_rows(update)
        self._advance(update)
        return changed

    def status_of(self, update: StoreUpdate) -> UpdateStatus:
        """Return whether an update can be applied to this copy."""
        if (update.era, update.version) < (self.era, self.version):
            return UpdateStatus.OUTDATED
        if update.era > self.era:
            return UpdateStatus.APPLICABLE if update.is_whole else UpdateStatus.GAP
        if update.is_whole or update.version == self.version:
            return UpdateStatus.APPLICABLE
        return (
            UpdateStatus.GAP if update.after > self.version else UpdateStatus.APPLICABLE
        )

    def make_update(
        self, read: StoreUpdate, before: dict[str, StoredRow]
    ) -> StoreUpdate:
        """Return the update for other daemons from a read that was applied.

        ``before`` holds the rows as they were when the read began. All values that a
        row had are included: a copy of a version in between still has another one, and
        the receivers may need to know that it was there.
        """
        if read.is_whole:
            return self.to_snapshot()
        values = {key: row.value for key, row in before.items()}
        changed: list[StoredRow] = []
        for row in read.rows:
            is_changed = values.get(row.key) != row.value
            # A row that is kept elsewhere may have been written again, or removed.
            if is_changed or self._outlasts_restore(row.key):
                changed.append(row)
            values[row.key] = row.value
        changed += [self.rows[key] for key in self.kept_until_s]
        return msgspec.structs.replace(read, rows=changed, kept=dict(self.kept_until_s))

    def to_snapshot(self) -> StoreUpdate:
        """Return an update that contains the full table."""
        return self._make_update(0, list(self.rows.values()))

    def to_kept_update(self) -> StoreUpdate:
        """Return an update that contains the kept rows, for copies of this version."""
        return self._make_update(
            self.version, [self.rows[key] for key in self.kept_until_s]
        )

    def _make_update(self, after: int, rows: list[StoredRow]) -> StoreUpdate:
        return StoreUpdate(
            self.name,
            after,
            self.version,
            self.answered_s,
            rows,
            self.era,
            dict(self.kept_until_s),
        )

    def superseded_rows(self, update: StoreUpdate) -> list[StoredRow]:
        """Return the values of an update that a later row of it replaces or removes.

        Those up to the copy's version are left out.
        """
        latest = {row.key: row for row in update.rows}
        return [
            row
            for row in update.rows
            if row.value is not None
            and row.value != latest[row.key].value
            and row.version > self.version
        ]

    def has_unread_values(self, update: StoreUpdate) -> bool:
        """Return whether rows had values that neither this copy nor the update has.

        Daemons of earlier releases send only the removal of a row that came and left.
        """
        known = set(self.rows)
        for row in update.rows:
            if row.value is not None:
                known.add(row.key)
            elif row.version > self.version and row.key not in known:
                return True
        return False

    def _apply_rows(self, update: StoreUpdate) -> list[StoredRow]:
        # A read has every change in order: the last change of a row counts.
        latest = {row.key: row for row in update.rows}
        changed = [row for row in latest.values() if self._is_changed(row)]
        self._update_kept(update, latest)
        if update.is_whole:
            changed += self._removed_rows(update)
        changed += self._expired_rows(update)
        for row in changed:
            if row.value is None:
                del self.rows[row.key]
            else:
                self.rows[row.key] = row
        return changed

    def _is_changed(self, row: StoredRow) -> bool:
        """Return whether a row's value differs from the known one.

        An update is applied only if it has no lower version than the copy or is of a
        later era, so the row's own version is not compared. That can be lower than the
        known one, as a copy keeps the version of a row rewritten with an equal value.
        """
        known = self.rows.get(row.key)
        if known is None:
            return row.value is not None
        return row.value != known.value

    def _removed_rows(self, update: StoreUpdate) -> list[StoredRow]:
        present = {row.key for row in update.rows}
        missing = self.rows.keys() - present - self.kept_until_s.keys()
        return [StoredRow(key, update.version, None) for key in missing]

    def _update_kept(self, update: StoreUpdate, latest: dict[str, StoredRow]) -> None:
        """Determine which rows are kept although the store lacks them."""
        kept = self.kept_until_s
        if update.era > self.era:
            # Times of an earlier era's clock have no meaning in this one.
            end_s = update.answered_s + KEPT_ROW_S
            lost = filter(self._outlasts_restore, self.rows.keys() - latest.keys())
            kept = dict.fromkeys(lost, end_s)
        kept = {key: end_s for key, end_s in kept.items() if key not in latest}
        self.kept_until_s = kept | {
            key: end_s
            for key, end_s in update.kept.items()
            if key in latest and latest[key].value is not None
        }

    def _expired_rows(self, update: StoreUpdate) -> list[StoredRow]:
        """Return the removals of rows that have been kept for long enough."""
        expired = [
            key
            for key, end_s in self.kept_until_s.items()
            if update.answered_s >= end_s
        ]
        for key in expired:
            del self.kept_until_s[key]
        return [
            StoredRow(key, update.version, None) for key in expired if key in self.rows
        ]

    def _advance(self, update: StoreUpdate) -> None:
        if update.era > self.era:
            # The store's clock may have been reset too.
            self.answered_s = update.answered_s
        self.era = update.era
        self.version = update.version
        self.answered_s = max(self.answered_s, update.answered_s)
