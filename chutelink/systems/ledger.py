"""Changes of a ledger row; each keeps the memory invariant or is refused."""

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
    """Return the row if no accelerator is claimed above its memory.

    Raises
    ------
    InvariantViolated
        Naming the accelerator; the caller must not write the row.
    """
    for index, used_mb in enumerate(row.used_mb()):
        if used_mb > row.memory_mb:
            message = f"accelerator {index}: {used_mb} MB of {row.memory_mb} claimed"
            raise InvariantViolated(message, step="ledger.memory", peer=row.endpoint)
    return row


def choose_accelerators(
    free_mb: list[int], count: int, memory_mb: int
) -> tuple[int, ...] | None:
    """Return the fullest accelerators that still have room, or None.

    Best fit keeps large gaps whole for large models.
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
    """Claim memory for a load and allot its order number.

    A claim that is already there keeps its accelerators: repeating its order
    can then never take memory elsewhere.
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
        return Failure(f"no room for {artifact}")
    claim = Claim(
        artifact, kind, accelerators, memory_mb, ClaimState.LOADING, fence, (order,)
    )
    return Success(check_memory(replace(row, fence=fence, claims=(*row.claims, claim))))


def claim_unload(row: LedgerRow, artifact: Artifact) -> Result[LedgerRow, str]:
    """Mark a claim as going and allot the order number; its memory stays claimed."""
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
    """Allot an order number that touches no claim."""
    return replace(row, fence=FencingNumber(row.fence + 1))


def apply_answer(
    row: LedgerRow, fence: FencingNumber, *, checks_fencing: bool
) -> LedgerRow:
    """Strike off the orders that an answer proves can't take effect any more.

    An endpoint that checks fencing numbers refuses every earlier order once it
    has answered a later one. One that ignores them proves only the order that
    it answered.
    """

    def is_open(order: PendingOrder) -> bool:
        if checks_fencing:
            return order.fence > fence
        return order.fence != fence

    return _filter_pending(row, is_open)


def remove_refused_load(row: LedgerRow, artifact: Artifact) -> LedgerRow:
    """Drop a load that the endpoint refused, once none of its orders is open."""
    claim = row.claim_of(artifact)
    if claim is None or claim.has_pending_load:
        return row
    if claim.state is not ClaimState.LOADING:
        return row
    return _remove_claim(row, artifact)


def apply_report(row: LedgerRow, loaded: Iterable[Artifact]) -> LedgerRow:
    """Bring claims in line with what the endpoint reports as loaded.

    Parameters
    ----------
    row : LedgerRow
        The row as last written.
    loaded : iterable of Artifact
        Everything that the engine holds ready, from a report asked for after
        the last answer was noted.

    Returns
    -------
    LedgerRow
        Unloads that are proved are retired; a claim that is gone from the
        engine goes back to LOADING, so that it is ordered again.
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
    """Give back the memory of unloads that are proved done.

    Proof is that the engine holds nothing of it in any state and that no load
    order for it is open. An open unload does no harm to memory.
    """
    present = set(held)
    for claim in row.claims:
        is_done = claim.artifact not in present and not claim.has_pending_load
        if claim.state is ClaimState.UNLOADING and is_done:
            row = _remove_claim(row, claim.artifact)
    return row


def expire_pending(row: LedgerRow, fences: Iterable[FencingNumber]) -> LedgerRow:
    """Strike off orders that are past the settable bound on lateness."""
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
