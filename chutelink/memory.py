"""Limits the memory that many bodies take together.

The size of each body is limited where it is read. A daemon reads hundreds of them at
once, so that their sum needs a limit of its own. Past it, bodies are not read on until
others have ended: a sender that waits is no failure.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

import msgspec

BYTES_PER_MB = 1024 * 1024
FREE_BYTES = 32 * 1024
"""Part of each body that is not limited, so that usual ones never wait."""
RESPONSE_MEMORY_SHARE = 0.125
"""Share of the daemon's memory that endpoints' responses may take."""
BODY_MEMORY_SHARE = 0.125
"""Share of a daemon's memory that bodies of requests may take.

Sending them to endpoints takes as much again.
"""
NO_MEMORY_RETRY_S = 0.5
"""Retry-After delay of requests for whose bodies there is no memory."""
OWNER_SHARE = 0.25
"""Share of the limit that the bodies of one sender may take."""


class _Waiter(msgspec.Struct, frozen=True):
    lease: MemoryLease
    more_bytes: int
    granted: asyncio.Future


class MemoryLease:
    """The memory that one body takes; closed when the body is no longer held.

    Parameters
    ----------
    budget : MemoryBudget
        The budget that it is taken from.
    owner : str
        The sender of the body.
    """

    def __init__(self, budget: MemoryBudget, owner: str) -> None:
        self._budget = budget
        self.owner = owner
        self.charged_bytes = 0
        self.is_waiting = False
        """Whether the body waits for memory, or waited when its read was ended."""

    def restart(self, owner: str) -> None:
        """Use the lease for the body of another sender instead."""
        self.close()
        self.owner = owner
        self.is_waiting = False

    def fits(self, size_bytes: int) -> bool:
        """Return whether there is memory for a size now; nothing is taken."""
        more_bytes = self._budget.charge_of(size_bytes) - self.charged_bytes
        return self._budget.fits(self, more_bytes)

    def try_resize(self, size_bytes: int) -> bool:
        """Change the size of the body if there is memory for it; return whether."""
        more_bytes = self._budget.charge_of(size_bytes) - self.charged_bytes
        return self._budget.try_take(self, more_bytes)

    def try_grow(self, more_bytes: int) -> bool:
        """Charge more bytes if they are available; return whether."""
        return self._budget.try_take(self, more_bytes)

    async def async_resize(self, size_bytes: int) -> None:
        """Change the size of the body, waiting for memory if it grows."""
        more_bytes = self._budget.charge_of(size_bytes) - self.charged_bytes
        if more_bytes > 0:
            await self._budget.async_take(self, more_bytes)
        elif more_bytes < 0:
            self._budget.give_back(self, -more_bytes)

    def close(self) -> None:
        """Give the memory back."""
        self._budget.close(self)


class MemoryBudget:
    """Memory that bodies share.

    No sender's bodies may take more than a share, so that senders without end don't
    keep others waiting. If bodies wait for each other, the one that has waited longest
    may exceed the budget until it has given all back, at most up to the limit of one
    body.

    Parameters
    ----------
    limit_bytes : float
        Limit of the sum.
    owner_share : float, default=OWNER_SHARE
        Share of it that the bodies of one sender may take.
    admits_one : bool, default=False
        Whether one body may exceed the limit while there are no others.
    free_bytes : int, default=FREE_BYTES
        Part of each body that is not limited.
    """

    def __init__(
        self,
        limit_bytes: float,
        owner_share: float = OWNER_SHARE,
        *,
        admits_one: bool = False,
        free_bytes: int = FREE_BYTES,
    ) -> None:
        self._free_bytes = free_bytes
        self._limit_bytes = limit_bytes
        self._admits_one = admits_one
        self._owner_limit_bytes = owner_share * limit_bytes
        self._owners_bytes: Counter[str] = Counter()
        self._waiting: list[_Waiter] = []
        self._exempt: MemoryLease | None = None
        self.used_bytes = 0
        self.on_wait: Callable[[str], None] = lambda owner: None
        """Called with the sender of a body that has to wait."""

    def open(self, owner: str = "") -> MemoryLease:
        """Return the lease of a body of which nothing has been read yet."""
        return MemoryLease(self, owner)

    def charge_of(self, size_bytes: int) -> int:
        """Return what a body of a size is charged."""
        return max(0, size_bytes - self._free_bytes)

    def try_take(self, lease: MemoryLease, more_bytes: int) -> bool:
        """Charge a lease with more bytes if they are available; return whether."""
        if not self.fits(lease, more_bytes):
            return False
        self._charge(lease, more_bytes)
        return True

    async def async_take(self, lease: MemoryLease, more_bytes: int) -> None:
        """Charge a lease with more bytes, waiting until they are available."""
        if self.try_take(lease, more_bytes):
            return
        granted = asyncio.get_running_loop().create_future()
        waiter = _Waiter(lease, more_bytes, granted)
        self._waiting.append(waiter)
        self.on_wait(lease.owner)
        self._grant_waiting()
        lease.is_waiting = True
        try:
            await granted
            lease.is_waiting = False
        finally:
            if granted.cancelled():
                self._grant_waiting()

    def give_back(self, lease: MemoryLease, less_bytes: int) -> None:
        """Charge a lease with fewer bytes."""
        self._charge(lease, -less_bytes)
        if self._exempt is lease and not lease.charged_bytes:
            self._exempt = None
        self._grant_waiting()

    def close(self, lease: MemoryLease) -> None:
        """Release all that a lease is charged with."""
        self.give_back(lease, lease.charged_bytes)

    def fits(self, lease: MemoryLease, more_bytes: int) -> bool:
        """Return whether a lease may be charged with more bytes now."""
        if more_bytes <= 0 or lease is self._exempt:
            return True
        if self._admits_one and self.used_bytes == lease.charged_bytes:
            return True
        of_owner_bytes = self._owners_bytes[lease.owner] + more_bytes
        return (
            of_owner_bytes <= self._owner_limit_bytes
            and self.used_bytes + more_bytes <= self._limit_bytes
        )

    def _charge(self, lease: MemoryLease, more_bytes: int) -> None:
        lease.charged_bytes += more_bytes
        self.used_bytes += more_bytes
        self._owners_bytes[lease.owner] += more_bytes
        if not self._owners_bytes[lease.owner]:
            del self._owners_bytes[lease.owner]

    def _grant_waiting(self) -> None:
        """Grant what fits in the order of arrival; forget waits that have ended."""
        if not self._waiting:
            return
        self._waiting = [w for w in self._waiting if not self._has_ended(w)]
        if self._waiting and self._exempt is None:
            first = self._waiting.pop(0)
            self._exempt = first.lease
            self._has_ended(first)

    def _has_ended(self, waiter: _Waiter) -> bool:
        """Return whether a waiter has been cancelled, or is granted its memory now."""
        if waiter.granted.done():
            return True
        if not self.fits(waiter.lease, waiter.more_bytes):
            return False
        self._charge(waiter.lease, waiter.more_bytes)
        waiter.granted.set_result(None)
        return True


def make_memory_budget(
    memory_mb: float, share: float, owner_share: float = OWNER_SHARE
) -> MemoryBudget:
    """Return a budget of a share of the memory that a daemon may take."""
    return MemoryBudget(share * memory_mb * BYTES_PER_MB, owner_share)


def make_request_memory(
    memory_mb: float, share: float, free_bytes: int
) -> MemoryBudget:
    """Return a budget for requests, in which each fits while there are no others.

    ``free_bytes`` of each request are not limited.
    """
    limit_bytes = share * memory_mb * BYTES_PER_MB
    return MemoryBudget(
        limit_bytes, owner_share=1.0, admits_one=True, free_bytes=free_bytes
    )
