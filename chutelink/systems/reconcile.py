"""Selects the next action that brings an endpoint closer to its planned state."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

import msgspec

from ..fleet.model import Artifact, ArtifactKind, FleetSpec, ModelSpec
from ..ids import EndpointName
from ..tables.endpoints import EndpointReport
from ..tables.ledger import Claim, ClaimState, LedgerRow, OrderAction
from .ledger import choose_accelerators

MAX_PENDING_ORDERS = 16


class ActionKind(Enum):
    """Actions that a director can perform at an endpoint."""

    FENCE = "fence"
    REPEAT = "repeat"
    REMOVE_UNEXPLAINED = "remove_unexplained"
    UNLOAD = "unload"
    LOAD = "load"


class Action(msgspec.Struct, frozen=True):
    """One action at one endpoint.

    ``guard`` is another endpoint that must still hold the artifact when the
    unload is claimed.
    """

    kind: ActionKind
    endpoint: EndpointName
    artifact: Artifact | None = None
    artifact_kind: ArtifactKind = ArtifactKind.MODEL
    accelerators: tuple[int, ...] = ()
    memory_mb: int = 0
    guard: EndpointName | None = None
    is_first_replica: bool = False

    @property
    def is_load(self) -> bool:
        """Whether the action counts towards the load limits of the weight store."""
        return self.kind is ActionKind.LOAD


class ReconcileInput(msgspec.Struct, frozen=True):
    """Inputs for selecting the next action at an endpoint.

    ``due`` contains the artifacts whose unanswered order may be repeated now.
    """

    row: LedgerRow
    report: EndpointReport
    fleet: FleetSpec
    desired: frozenset[str]
    ledger: Mapping[EndpointName, LedgerRow]
    usable: frozenset[EndpointName]
    due: frozenset[Artifact]


def find_unexplained(row: LedgerRow, report: EndpointReport) -> list[Artifact]:
    """Return the artifacts that an engine holds without a matching claim."""
    found = []
    for held in report.artifacts:
        claim = row.claim_of(held.artifact)
        is_covered = (
            claim is not None
            and set(held.accelerators) <= set(claim.accelerators)
            and held.memory_mb <= claim.memory_mb
        )
        if not is_covered:
            found.append(held.artifact)
    return found


def next_action(inputs: ReconcileInput) -> Action | None:
    """Return the next action at an endpoint, or None if none is needed or possible."""
    endpoint = inputs.row.endpoint
    if inputs.report.boot_id != inputs.row.boot_id:
        return Action(ActionKind.FENCE, endpoint)
    unexplained = find_unexplained(inputs.row, inputs.report)
    if unexplained:
        return Action(ActionKind.REMOVE_UNEXPLAINED, endpoint, unexplained[0])
    return _next_repeat(inputs) or _next_unload(inputs) or _next_load(inputs)


def _next_repeat(inputs: ReconcileInput) -> Action | None:
    for claim in inputs.row.claims:
        is_open = claim.state is not ClaimState.LOADED
        is_bounded = len(claim.pending) < MAX_PENDING_ORDERS
        if is_open and is_bounded and claim.artifact in inputs.due:
            return _action_for(ActionKind.REPEAT, inputs.row, claim)
    return None


def _action_for(kind: ActionKind, row: LedgerRow, claim: Claim) -> Action:
    return Action(
        kind,
        row.endpoint,
        claim.artifact,
        claim.kind,
        claim.accelerators,
        claim.memory_mb,
    )


def _next_unload(inputs: ReconcileInput) -> Action | None:
    """Return an unload of an unwanted artifact, with adapters before models."""
    wanted = _wanted_artifacts(inputs)
    adapters_first = sorted(
        inputs.row.claims, key=lambda c: (c.kind is ArtifactKind.MODEL, c.artifact)
    )
    for claim in adapters_first:
        if claim.artifact in wanted or claim.state is ClaimState.UNLOADING:
            continue
        if claim.pending:
            continue
        is_safe, guard = find_guard(inputs, claim.artifact)
        if is_safe:
            action = _action_for(ActionKind.UNLOAD, inputs.row, claim)
            return msgspec.structs.replace(action, guard=guard)
    return None


def _wanted_artifacts(inputs: ReconcileInput) -> set[Artifact]:
    wanted: set[Artifact] = set()
    for name in inputs.desired:
        wanted.add(inputs.fleet.models[name].artifact)
        wanted |= {a.artifact for a in inputs.fleet.adapters_of(name)}
    return wanted


def find_guard(
    inputs: ReconcileInput, artifact: Artifact
) -> tuple[bool, EndpointName | None]:
    """Return whether an artifact may be unloaded, and the endpoint that guards it.

    An artifact whose name is no longer declared can always be unloaded.
    Otherwise another usable endpoint must hold the model and all its adapters
    in their declared versions.
    """
    model = inputs.fleet.base_model(artifact.name)
    if model is None:
        return True, None
    needed = [model.artifact]
    needed += [a.artifact for a in inputs.fleet.adapters_of(model.name)]
    is_replaced = artifact not in needed
    for name, row in sorted(inputs.ledger.items()):
        if name not in inputs.usable or not all(row.holds(a) for a in needed):
            continue
        # An outdated version may be unloaded if this endpoint has its successor.
        if name != inputs.row.endpoint:
            return True, name
        if is_replaced:
            return True, None
    return False, None


def _next_load(inputs: ReconcileInput) -> Action | None:
    for name in sorted(inputs.desired):
        model = inputs.fleet.models[name]
        action = _next_model_load(inputs, model) or _next_adapter_load(inputs, model)
        if action is not None:
            return action
    return None


def _next_model_load(inputs: ReconcileInput, model: ModelSpec) -> Action | None:
    if inputs.row.claim_of(model.artifact) is not None:
        return None
    size_mb = model.memory_mb
    size_mb += sum(a.memory_mb for a in inputs.fleet.adapters_of(model.name))
    chosen = choose_accelerators(inputs.row.free_mb(), model.accelerators, size_mb)
    if chosen is None:
        return None
    return Action(
        ActionKind.LOAD,
        inputs.row.endpoint,
        model.artifact,
        ArtifactKind.MODEL,
        chosen,
        model.memory_mb,
        is_first_replica=not _is_loaded_anywhere(inputs, model.artifact),
    )


def _next_adapter_load(inputs: ReconcileInput, model: ModelSpec) -> Action | None:
    base = inputs.row.claim_of(model.artifact)
    if base is None or base.state is not ClaimState.LOADED:
        return None
    free_mb = inputs.row.free_mb()
    for adapter in inputs.fleet.adapters_of(model.name):
        if inputs.row.claim_of(adapter.artifact) is not None:
            continue
        if any(free_mb[index] < adapter.memory_mb for index in base.accelerators):
            continue
        return Action(
            ActionKind.LOAD,
            inputs.row.endpoint,
            adapter.artifact,
            ArtifactKind.ADAPTER,
            base.accelerators,
            adapter.memory_mb,
            is_first_replica=not _is_loaded_anywhere(inputs, adapter.artifact),
        )
    return None


def _is_loaded_anywhere(inputs: ReconcileInput, artifact: Artifact) -> bool:
    return any(
        row.holds(artifact)
        for name, row in inputs.ledger.items()
        if name in inputs.usable
    )


def order_action(claim: Claim) -> OrderAction:
    """Return the order action that completes a claim's state transition."""
    if claim.state is ClaimState.UNLOADING:
        return OrderAction.UNLOAD
    return OrderAction.LOAD
