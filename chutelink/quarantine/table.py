"""Bounded table of suspect requests. Does no I/O."""

from __future__ import annotations

from collections.abc import Collection

import msgspec

from ..ids import Fingerprint
from .const import (
    MAX_COMPANIONS,
    MAX_HOLDS,
    MAX_SUSPECTS,
    MIN_CONTENTS_TO_HOLD,
    MIN_ENDINGS_TO_STORE,
    MIN_RIVAL_RUNS,
    RUNS_TO_CONFIRM,
    SUSPECT_RETENTION_S,
)
from .model import Ending, Hold, Suspect, Verdict
from .policy import QuarantinePolicy


class SuspectTable:
    """Requests and prompt parts that were running when endpoints terminated.

    Held requests and the others are in separate dictionaries, the latest last, so that
    the oldest are evicted without a scan: one termination may add hundreds of requests.

    Parameters
    ----------
    policy : QuarantinePolicy
        Decides when requests are held and for how long.
    """

    def __init__(self, policy: QuarantinePolicy) -> None:
        self._policy = policy
        self._free: dict[Fingerprint, Suspect] = {}
        self._held: dict[Fingerprint, Suspect] = {}

    def __len__(self) -> int:
        return len(self._free) + len(self._held)

    def __contains__(self, fingerprint: Fingerprint) -> bool:
        return fingerprint in self._free or fingerprint in self._held

    @property
    def held(self) -> int:
        """Number of held requests."""
        return len(self._held)

    def get(self, fingerprint: Fingerprint) -> Suspect | None:
        """Return the entry of a request, None if it is unknown."""
        return self._free.get(fingerprint) or self._held.get(fingerprint)

    def verdict(self, fingerprint: Fingerprint, unix_s: float) -> Verdict:
        """Return whether a request may run."""
        row = self._held.get(fingerprint)
        return self._policy.decide(None if row is None else row.hold, unix_s)

    def binding(
        self, fingerprints: Collection[Fingerprint], unix_s: float
    ) -> list[Fingerprint]:
        """Return those for which a request with all of these may not run normally.

        A part with rivals does not bind requests without any other suspect: their runs
        show whether it is the cause.
        """
        return [
            f
            for f in fingerprints
            if self.verdict(f, unix_s) is not Verdict.FREE
            and (not self._rivals(f) or self._has_other(f, fingerprints))
        ]

    def _rivals(self, fingerprint: Fingerprint) -> list[Fingerprint]:
        row = self._held.get(fingerprint)
        rivals = () if row is None else row.hold.rivals
        return [rival for rival in rivals if rival in self]

    def _has_other(
        self, fingerprint: Fingerprint, fingerprints: Collection[Fingerprint]
    ) -> bool:
        return any(f != fingerprint and f in self for f in fingerprints)

    def is_certain(self, fingerprint: Fingerprint) -> bool:
        """Return whether a part is held and has no rivals."""
        return fingerprint in self._held and not self._rivals(fingerprint)

    def find_tested(self, parts: Collection[Fingerprint]) -> Fingerprint | None:
        """Return the held part, with rivals, that is a run's only suspect, if any."""
        suspects = [part for part in parts if part in self]
        if len(suspects) != 1 or suspects[0] not in self._held:
            return None
        return None if self.is_certain(suspects[0]) else suspects[0]

    def note_test(self, part: Fingerprint, *, is_conclusive: bool) -> bool:
        """Record a termination in a run whose only suspect was a held part.

        It is conclusive if all other parts of the run are known to be sound. Returns
        whether the part is the cause for certain from now on.
        """
        row = self._held[part]
        row.tests += 1
        if not is_conclusive and row.tests < RUNS_TO_CONFIRM:
            return False
        row.hold = msgspec.structs.replace(row.hold, rivals=())
        return True

    def counted(self) -> dict[Fingerprint, Suspect]:
        """Return the requests whose terminations are stored although not held."""
        return {
            fingerprint: row
            for fingerprint, row in self._free.items()
            if len(row.endings) >= MIN_ENDINGS_TO_STORE and not row.contents
        }

    def holds(self) -> dict[Fingerprint, Hold]:
        """Return the holds of all held requests."""
        return {fingerprint: row.hold for fingerprint, row in self._held.items()}

    def add_ending(
        self,
        fingerprint: Fingerprint,
        about: str,
        ending: Ending,
        now_s: float,
        unix_s: float,
        content: Fingerprint | None = None,
        companions: Collection[Fingerprint] = (),
    ) -> bool:
        """Add an endpoint termination to a request, or to a part of its prompt.

        Returns whether this puts the request or part on hold. A termination counts
        once, whichever daemons report it. If the fingerprint is that of a part,
        ``content`` is the request, and ``companions`` are its other parts that may be
        the cause.
        """
        row = self._pop(fingerprint) or Suspect(about)
        row.seen_s = now_s
        if ending not in row.endings:
            row.endings += (ending,)
        if content is not None:
            _add_run(row, content, companions)
        is_new = row.hold is None and self._policy.should_hold(row)
        if is_new:
            hold = self._policy.begin_hold(row, unix_s)
            row.hold = msgspec.structs.replace(hold, rivals=_find_rivals(row))
            row.held_s = now_s
        self._insert(fingerprint, row, now_s)
        return is_new

    def put_hold(self, fingerprint: Fingerprint, hold: Hold, now_s: float) -> bool:
        """Apply a hold from the store; return whether the request was not held yet.

        What has been learned here since it was stored is kept.
        """
        row = self._pop(fingerprint) or Suspect(hold.about)
        row.seen_s = now_s
        is_new = row.hold is None
        if is_new:
            row.held_s = now_s
        else:
            rivals = tuple(r for r in hold.rivals if r in row.hold.rivals)
            hold = msgspec.structs.replace(hold, rivals=rivals)
        row.hold = hold
        row.endings = tuple(dict.fromkeys((*hold.endings, *row.endings)))
        self._insert(fingerprint, row, now_s)
        return is_new

    def discharge(self, part: Fingerprint) -> list[Fingerprint]:
        """Remove the terminations that a part has caused from all other suspects.

        Returns the held parts that have no others.
        """
        caused = self._held[part].endings
        for fingerprint, row in list(self._free.items()):
            row.endings = tuple(e for e in row.endings if e not in caused)
            if not row.endings:
                del self._free[fingerprint]
        return [
            fingerprint
            for fingerprint, row in self._held.items()
            if fingerprint != part
            and row.hold.rivals
            and all(e in caused for e in row.endings)
        ]

    def clear(self, fingerprint: Fingerprint) -> bool:
        """Remove a request; return whether it was in the table."""
        return self._pop(fingerprint) is not None

    def _pop(self, fingerprint: Fingerprint) -> Suspect | None:
        return self._free.pop(fingerprint, None) or self._held.pop(fingerprint, None)

    def _insert(self, fingerprint: Fingerprint, row: Suspect, now_s: float) -> None:
        """Insert a row as the latest and evict the oldest; only holds evict holds."""
        rows = self._free if row.hold is None else self._held
        rows[fingerprint] = row
        if len(self._held) > MAX_HOLDS:
            del self._held[next(iter(self._held))]
        while self._free and self._should_evict_oldest(now_s):
            del self._free[next(iter(self._free))]

    def _should_evict_oldest(self, now_s: float) -> bool:
        if len(self._free) > MAX_SUSPECTS:
            return True
        oldest = next(iter(self._free.values()))
        return now_s - oldest.seen_s > SUSPECT_RETENTION_S


def _add_run(
    row: Suspect, content: Fingerprint, companions: Collection[Fingerprint]
) -> None:
    """Record a request that shared a part, and the parts that it had besides."""
    is_new = content not in row.contents
    if is_new and len(row.contents) < MIN_CONTENTS_TO_HOLD:
        row.contents += (content,)
    for part in companions:
        if part in row.companions or len(row.companions) < MAX_COMPANIONS:
            row.companions[part] = row.companions.get(part, 0) + 1


def _find_rivals(row: Suspect) -> tuple[Fingerprint, ...]:
    """Return the parts that came with a part often enough to be the cause instead."""
    return tuple(p for p, runs in row.companions.items() if runs >= MIN_RIVAL_RUNS)
