"""Which counts of endpoint terminations are in the store, and which to write.

They let the count go on after the loss of all daemons. Only requests one termination
below the threshold are stored: a mass crash makes many suspects with fewer. Prompt
parts are not stored, since their cause depends on the requests that shared them. Does
no I/O.
"""

from __future__ import annotations

from ..ids import Fingerprint
from .const import SAVE_RANK_DELAY_S
from .model import EndingCount
from .table import SuspectTable


class StoredCounts:
    """Compares the counts of a table with those in the store.

    Parameters
    ----------
    table : SuspectTable
        The suspects that this daemon knows.
    """

    def __init__(self, table: SuspectTable) -> None:
        self._table = table
        self._found_here: set[Fingerprint] = set()
        self._saved: dict[Fingerprint, EndingCount] = {}

    def note_found(self, fingerprint: Fingerprint) -> None:
        """Record that this daemon itself has detected a termination."""
        self._found_here.add(fingerprint)

    def note_stored(self, fingerprint: Fingerprint, count: EndingCount | None) -> None:
        """Record the count that is in the store, None if there is none."""
        self._found_here.discard(fingerprint)
        if count is None:
            self._saved.pop(fingerprint, None)
        else:
            self._saved[fingerprint] = count

    def forget_stored(self) -> None:
        """Handle a restored store, whose counts are unknown."""
        self._saved.clear()

    def unsaved(self, now_s: float, rank: int) -> dict[Fingerprint, EndingCount]:
        """Return the counts to write; those of other daemons once they are overdue."""
        late_s = SAVE_RANK_DELAY_S * (1 + rank)
        counted = self._table.counted()
        self._found_here &= counted.keys()
        return {
            fingerprint: EndingCount(row.about, row.endings)
            for fingerprint, row in counted.items()
            if not self._is_saved(fingerprint, len(row.endings))
            and (fingerprint in self._found_here or now_s - row.seen_s >= late_s)
        }

    def _is_saved(self, fingerprint: Fingerprint, endings: int) -> bool:
        saved = self._saved.get(fingerprint)
        return saved is not None and len(saved.endings) >= endings

    def outdated(self, rank: int) -> list[Fingerprint]:
        """Return the rows to remove, as their requests are held or cleared.

        Only rank 0 removes them.
        """
        if rank or not self._saved:
            return []
        counted = self._table.counted()
        return [name for name in self._saved if name not in counted]
