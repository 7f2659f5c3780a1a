"""State transitions of a ledger row.

Every transition either preserves the memory invariant or is rejected.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from msgspec.structs import replace
from returns.result import Failure, Result, Success

from ..exceptions import InvariantViolated
from ..fleet.model import Artifact, ArtifactKind
from ..ids import FencingNumber
from ..tables.ledger import (
    Claim,
    ClaimState,
    LedgerRow,
    OrderAction,
    PendingOrder,
)


def check_memory(row: LedgerRow) -> LedgerRow:
    """Return the row if the claims on each accelerator fit in its memory.

    Raises
    ------
    InvariantViolated
        The claims exceed an accelerator's memory. The caller must not write
        the row.
    """
    for index, used_mb in enumerate(row.used_mb()):
        if used_mb > row.memory_mb:
            message = f"accelerator {index}: {used_mb} MB claimed of {row.memory_mb} MB"
            raise InvariantViolated(message, step="ledger.memory", peer=row.endpoint)
    return row


def choose_accelerators(
    free_mb: list[int], count: int, memory_mb: int
) -> tuple[int, ...] | None:
    """Return the fitting accelerators with the least free memory, or None.

    Best fit reduces fragmentation, so that large models still find space.
    """
    fitting = [i for i, free in enumerate(free_mb) if free >= memory_mb]
    if len(fitting) < count:
        return None
    fitting.sort(key=lambda index: (free_mb[index], index))
    return tuple(sorted(fitting[:count]))


def claim_load(
    row: LedgerRow,
    artifact: Artifact,
    kind: ArtifactKind,
    accelerators: tuple[int, ...],
    memory_mb: int,
) -> Result[LedgerRow, str]:
    """Claim memory for a load and allocate its fencing number.

    An existing claim keeps its accelerators, so that repeating its order never
    uses memory on other accelerators.
    """
    fence = FencingNumber(row.fence + 1)
    order = PendingOrder(fence, OrderAction.LOAD)
    existing = row.claim_of(artifact)
    if existing is not None:
        if existing.state is ClaimState.UNLOADING:
            return Failure(f"{artifact} is being unloaded")
        changed = replace(
            existing,
            state=ClaimState.LOADING,
            fence=fence,
            pending=(*existing.pending, order),
        )
        return Success(check_memory(_replace_claim(replace(row, fence=fence), changed)))
    free_mb = row.free_mb()
    if any(free_mb[index] < memory_mb for index in accelerators):
        return Failure(f"not enough free memory for {artifact}")
    claim = Claim(
        artifact, kind, accelerators, memory_mb, ClaimState.LOADING, fence, (order,)
    )
    return Success(check_memory(replace(row, fence=fence, claims=(*row.claims, claim))))


def claim_unload(row: LedgerRow, artifact: Artifact) -> Result[LedgerRow, str]:
    """Mark a claim as unloading and allocate the order's fencing number.

    The memory stays claimed until the unload is confirmed.
    """
    existing = row.claim_of(artifact)
    if existing is None:
        return Failure(f"no claim for {artifact}")
    fence = FencingNumber(row.fence + 1)
    order = PendingOrder(fence, OrderAction.UNLOAD)
    changed = replace(
        existing,
        state=ClaimState.UNLOADING,
        fence=fence,
        pending=(*existing.pending, order),
    )
    return Success(_replace_claim(replace(row, fence=fence), changed))


def allocate_fence(row: LedgerRow) -> LedgerRow:
    """Allocate a fencing number for an order that changes no claim."""
    return replace(row, fence=FencingNumber(row.fence + 1))


def apply_answer(
    row: LedgerRow, fence: FencingNumber, *, checks_fencing: bool
) -> LedgerRow:
    """Remove the pending orders that can no longer take effect after an answer.

    An endpoint that checks fencing numbers refuses all earlier orders once it
    has answered a later one. If an endpoint ignores fencing numbers, an answer
    settles only the order that it answers.
    """

    def is_open(order: PendingOrder) -> bool:
        if checks_fencing:
            return order.fence > fence
        return order.fence != fence

    return _filter_pending(row, is_open)


def remove_refused_load(row: LedgerRow, artifact: Artifact) -> LedgerRow:
    """Remove the claim of a refused load if it has no other pending load order."""
    claim = row.claim_of(artifact)
    if claim is None or claim.has_pending_load:
        return row
    if claim.state is not ClaimState.LOADING:
        return row
    return _remove_claim(row, artifact)


def apply_report(row: LedgerRow, loaded: Iterable[Artifact]) -> LedgerRow:
    """Update the claims from the artifacts that the endpoint reports as loaded.

    Parameters
    ----------
    row : LedgerRow
        The last written row.
    loaded : iterable of Artifact
        All artifacts that the engine reports as loaded. The report must have
        been requested after the last answer was applied.

    Returns
    -------
    LedgerRow
        The row in which loading claims that are present are LOADED. A loaded
        claim that the engine no longer holds returns to LOADING, so that the
        load is ordered again.
    """
    present = set(loaded)
    for claim in row.claims:
        is_present = claim.artifact in present
        if claim.state is ClaimState.LOADING and is_present:
            row = _replace_claim(row, replace(claim, state=ClaimState.LOADED))
        elif claim.state is ClaimState.LOADED and not is_present:
            row = _replace_claim(row, replace(claim, state=ClaimState.LOADING))
    return row


def release_unloaded(row: LedgerRow, held: Iterable[Artifact]) -> LedgerRow:
    """Release the memory of unloads that are confirmed.

    An unload is confirmed when the engine does not hold the artifact in any
    state and no load order for it is pending. A pending unload order can be
    ignored, because it cannot increase memory use.
    """
    present = set(held)
    for claim in row.claims:
        is_done = claim.artifact not in present and not claim.has_pending_load
        if claim.state is ClaimState.UNLOADING and is_done:
            row = _remove_claim(row, claim.artifact)
    return row


def expire_pending(row: LedgerRow, fences: Iterable[FencingNumber]) -> LedgerRow:
    """Remove pending orders that exceeded the configured ``order_lateness_s``."""
    expired = set(fences)
    claims = [
        replace(
            claim, pending=tuple(o for o in claim.pending if o.fence not in expired)
        )
        for claim in row.claims
    ]
    return replace(row, claims=tuple(claims))


def _filter_pending(
    row: LedgerRow, is_open: Callable[[PendingOrder], bool]
) -> LedgerRow:
    claims = [
        replace(claim, pending=tuple(o for o in claim.pending if is_open(o)))
        for claim in row.claims
    ]
    return replace(row, claims=tuple(claims))


def _replace_claim(row: LedgerRow, claim: Claim) -> LedgerRow:
    claims = tuple(claim if c.artifact == claim.artifact else c for c in row.claims)
    return replace(row, claims=claims)


def _remove_claim(row: LedgerRow, artifact: Artifact) -> LedgerRow:
    claims = tuple(c for c in row.claims if c.artifact != artifact)
    return replace(row, claims=claims)
