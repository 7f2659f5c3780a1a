"""Memory ledger: the artifacts that each accelerator holds or may be loading."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..fleet.model import Artifact, ArtifactKind
from ..ids import BootId, EndpointName, FencingNumber


class ClaimState(Enum):
    """State of a claim."""

    LOADING = "loading"
    LOADED = "loaded"
    UNLOADING = "unloading"


class OrderAction(Enum):
    """Action that an order requests from an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    FENCE = "fence"


class PendingOrder(msgspec.Struct, frozen=True):
    """An order that is recorded in a claim and has not been answered yet."""

    fence: FencingNumber
    action: OrderAction


class Claim(msgspec.Struct, frozen=True):
    """Memory reserved for an artifact on some accelerators of an endpoint.

    ``memory_mb`` is reserved on each of ``accelerators``.
    """

    artifact: Artifact
    kind: ArtifactKind
    accelerators: tuple[int, ...]
    memory_mb: int
    state: ClaimState
    fence: FencingNumber
    pending: tuple[PendingOrder, ...] = ()

    @property
    def has_pending_load(self) -> bool:
        """Whether a load order may still take effect."""
        return any(order.action is OrderAction.LOAD for order in self.pending)


class LedgerRow(msgspec.Struct, frozen=True):
    """All claims on one endpoint, and the last fencing number that was assigned.

    ``boot_id`` is the engine process that the claims were last reconciled with; a
    different process must answer a fence order before it is sent load orders.
    """

    endpoint: EndpointName
    accelerators: int
    memory_mb: int
    fence: FencingNumber = FencingNumber(0)
    claims: tuple[Claim, ...] = ()
    boot_id: BootId = BootId("")

    def claim_of(self, artifact: Artifact) -> Claim | None:
        """Return the claim for an artifact, if there is one."""
        return next((c for c in self.claims if c.artifact == artifact), None)

    def used_mb(self) -> list[int]:
        """Return the claimed memory of each accelerator."""
        used = [0] * self.accelerators
        for claim in self.claims:
            for index in claim.accelerators:
                used[index] += claim.memory_mb
        return used

    def free_mb(self) -> list[int]:
        """Return the unclaimed memory of each accelerator."""
        return [self.memory_mb - used for used in self.used_mb()]

    def holds(self, artifact: Artifact) -> bool:
        """Return whether the artifact is loaded and not being unloaded."""
        claim = self.claim_of(artifact)
        return claim is not None and claim.state is ClaimState.LOADED
