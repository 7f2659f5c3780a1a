"""The commands status, history, plan, explain and drain."""

from __future__ import annotations

from pathlib import Path

import msgspec

from ..configuration import Drains
from ..const import (
    KEY_DRAINS,
    PREFIX_LEASE,
    PREFIX_STATE,
    PREFIX_VERSION,
)
from ..exceptions import TransactionConflict
from ..fleet import FleetSpec, diff_fleets
from ..ids import NO_VERSION, ConfigVersion, EndpointName
from ..store import Check, Platform, Write, async_commit, decode_value
from ..systems.placement import PlacementInput, Plan, make_placement
from ..tables.leases import LeaseRow
from ..tables.ledger import Claim, ClaimState, LedgerRow
from ..tables.state import StateTable
from .apply import VersionRow, async_read_head, async_read_version, read_fleet
from .daemons import DaemonClient, Survey
from .output import ExitCode, Result, format_table, make_failure

LOADS_PER_S = 2.0
"""Load rate from which the minimum duration of a plan is estimated."""


async def async_read_state(platform: Platform) -> StateTable:
    """Read the current ledger and health rows."""
    state = StateTable()
    page = await platform.table.async_read(PREFIX_STATE)
    for row in page.rows:
        state.put_row(row)
    return state


async def async_current_fleet(
    platform: Platform,
) -> tuple[FleetSpec | None, ConfigVersion]:
    """Read the committed fleet and its version."""
    head, _ = await async_read_head(platform)
    if head is None:
        return None, NO_VERSION
    return await async_read_version(platform, head.version), head.version


async def async_history(platform: Platform) -> Result:
    """List the committed versions, newest first."""
    page = await platform.table.async_read(PREFIX_VERSION)
    rows = [decode_value(row, VersionRow) for row in page.rows]
    found = sorted((r for r in rows if r is not None), key=lambda r: -r.version)
    table = [("VERSION", "BASE", "APPLIED", "APPLY", "HASH")]
    table += [
        (str(r.version), str(r.base), r.applied_at, r.apply_id, r.hash[:12])
        for r in found
    ]
    data = {"versions": [msgspec.to_builtins(row) for row in found]}
    return Result(ExitCode.OK, format_table(table), data)


async def async_plan(platform: Platform, path: Path) -> Result:
    """Show the changes of a fleet file and the loads and unloads they require."""
    fleet, _, problems = read_fleet(path)
    if fleet is None:
        return Result(ExitCode.INVALID, problems, {"problems": problems})
    current, version = await async_current_fleet(platform)
    state = await async_read_state(platform)
    usable = state.usable() or frozenset(EndpointName(e.name) for e in fleet.engines())
    placement_input = PlacementInput(fleet, state.rows(), usable, state.demand())
    plan = make_placement(fleet.options).plan(placement_input)
    loads, unloads = count_moves(fleet, plan, state.rows())
    changes = [str(change) for change in diff_fleets(current, fleet)]
    lines = [f"against version {version}:"]
    lines += [f"  {change}" for change in changes] or ["  nothing changes"]
    lines.append(f"moves: {loads} loads, {unloads} unloads")
    least_s = loads / LOADS_PER_S
    lines.append(f"at {LOADS_PER_S:g} loads a second: at least {least_s:g} s")
    lines += [f"no place now: {name}" for name in plan.unplaced]
    lines.append(f"to apply: chutelink apply {path} --base {version}")
    data = {
        "base": version,
        "changes": changes,
        "loads": loads,
        "unloads": unloads,
        "unplaced": plan.unplaced,
    }
    return Result(ExitCode.OK, lines, data)


def count_moves(
    fleet: FleetSpec, plan: Plan, ledger: dict[EndpointName, LedgerRow]
) -> tuple[int, int]:
    """Count the loads and unloads required to get from the ledger to a plan."""
    loads = unloads = 0
    for name, models in plan.assignment.items():
        row = ledger.get(name)
        held = {c.artifact for c in row.claims} if row is not None else set()
        wanted = {fleet.models[m].artifact for m in models}
        wanted |= {a.artifact for m in models for a in fleet.adapters_of(m)}
        loads += len(wanted - held)
        unloads += len(held - wanted)
    return loads, unloads


async def async_status(platform: Platform, daemons: DaemonClient) -> Result:
    """Show versions in force, leases, endpoints, and models without a replica."""
    fleet, version = await async_current_fleet(platform)
    survey = await daemons.async_survey()
    state = await async_read_state(platform)
    leases = await platform.table.async_read(PREFIX_LEASE)
    holders = {
        row.key[len(PREFIX_LEASE) :]: decode_value(row, LeaseRow) for row in leases.rows
    }
    lines = [f"committed version: {version}", ""]
    lines += _daemon_lines(survey)
    lines += ["", *format_table([("LEASE", "HOLDER"), *_lease_rows(holders)])]
    lines += ["", *_endpoint_lines(fleet, survey, state)]
    replicas = count_replicas(fleet, state)
    missing = sorted(name for name, count in replicas.items() if count == 0)
    lines += ["", f"models: {len(replicas)}, without a replica: {len(missing)}"]
    lines += [f"  no replica: {name}" for name in missing]
    data = {
        "version": version,
        "daemons": [msgspec.to_builtins(status) for status in survey.statuses],
        "silent": survey.silent,
        "gone": survey.gone,
        "leases": {n: msgspec.to_builtins(row) for n, row in holders.items()},
        "replicas": replicas,
    }
    return Result(ExitCode.OK, lines, data)


def _daemon_lines(survey: Survey) -> list[str]:
    table = [("DAEMON", "ROLE", "DOMAIN", "VERSION", "STATE")]
    for status in survey.statuses:
        notes = [] if status.confirmed else ["unconfirmed"]
        notes += ["leaving"] if status.draining else []
        notes += [f"quarantined:{name}" for name in status.quarantined]
        notes += [f"no-place:{name}" for name in status.unplaced]
        table.append(
            (
                status.daemon,
                status.role.value,
                status.failure_domain,
                str(status.version),
                ",".join(notes) or "ok",
            )
        )
    table += [(name, "-", "-", "-", "does not answer") for name in survey.silent]
    table += [(name, "-", "-", "-", "gone") for name in survey.gone]
    return format_table(table)


def _lease_rows(holders: dict[str, LeaseRow | None]) -> list[tuple[str, str]]:
    rows = []
    for name, row in sorted(holders.items()):
        is_held = row is not None and not row.is_released
        rows.append((name, row.holder if is_held else "nobody"))
    return rows


def _endpoint_lines(
    fleet: FleetSpec | None, survey: Survey, state: StateTable
) -> list[str]:
    table = [("ENDPOINT", "DOMAIN", "STATE", "CLAIMS", "FREE_MB")]
    seen: dict[str, str] = {}
    for status in survey.statuses:
        for name, value in status.endpoints.items():
            if value != "unknown":
                seen.setdefault(name, value)
    for name, spec in sorted(fleet.endpoints.items() if fleet else ()):
        entry = state.ledger.get(name)
        claims = str(len(entry.row.claims)) if entry else "-"
        free_mb = str(sum(entry.row.free_mb())) if entry else "-"
        state_name = seen.get(name, "unknown")
        table.append((name, spec.failure_domain, state_name, claims, free_mb))
    return format_table(table)


def count_replicas(fleet: FleetSpec | None, state: StateTable) -> dict[str, int]:
    """Count the usable endpoints that have loaded each declared model or adapter."""
    if fleet is None:
        return {}
    rows = [row for name, row in state.rows().items() if name in state.usable()]
    return {
        name: sum(
            all(row.holds(a) for a in fleet.needed_artifacts(name)) for row in rows
        )
        for name in sorted([*fleet.models, *fleet.adapters])
    }


async def async_explain(platform: Platform, name: str) -> Result:
    """Show where a model is placed and why."""
    fleet, version = await async_current_fleet(platform)
    model = fleet.base_model(name) if fleet is not None else None
    if model is None:
        return make_failure(
            ExitCode.INVALID,
            f"{name}: not declared in version {version}",
            "see: chutelink status",
        )
    state = await async_read_state(platform)
    placement_input = PlacementInput(
        fleet, state.rows(), state.usable(), state.demand()
    )
    plan = make_placement(fleet.options).plan(placement_input)
    planned = plan.holders(model.name)
    lines = [
        f"{name}: served by model {model.artifact}, {model.memory_mb} MB on each of "
        f"{model.accelerators} accelerators, at least {model.replicas} replicas",
        f"demand: {state.demand().get(model.name, 0):g} sequences running or waiting",
        f"placement: {fleet.options.placement.value}; planned at: "
        f"{', '.join(planned) or 'nowhere'}",
    ]
    if model.name in plan.unplaced:
        lines.append("no endpoint has the memory for it now")
    claims = _find_claims(fleet, state, name)
    lines += [f"  {endpoint}: {_describe_claim(claim)}" for endpoint, claim in claims]
    data = {
        "model": model.name,
        "planned": planned,
        "claims": [
            {"endpoint": endpoint, **msgspec.to_builtins(claim)}
            for endpoint, claim in claims
        ],
    }
    return Result(ExitCode.OK, lines, data)


def _find_claims(
    fleet: FleetSpec, state: StateTable, name: str
) -> list[tuple[str, Claim]]:
    names = {name, fleet.base_model(name).name}
    return [
        (endpoint, claim)
        for endpoint, row in sorted(state.rows().items())
        for claim in row.claims
        if claim.artifact.name in names
    ]


def _describe_claim(claim: Claim) -> str:
    text = f"{claim.artifact} {claim.state.value} on {list(claim.accelerators)}"
    if claim.state is not ClaimState.LOADED and claim.pending:
        text += f", {len(claim.pending)} orders unanswered"
    return text


async def async_drain(platform: Platform, name: str, *, is_undo: bool) -> Result:
    """Drain an endpoint or a VM, or undo its drain."""
    fleet, version = await async_current_fleet(platform)
    endpoints = fleet.endpoints.values() if fleet is not None else ()
    known = {e.name for e in endpoints} | {e.vm for e in endpoints}
    if name not in known and not is_undo:
        message = f"{name}: no endpoint or VM of that name in version {version}"
        return make_failure(ExitCode.INVALID, message, "see: chutelink status")
    row = (await platform.table.async_read(KEY_DRAINS)).get(KEY_DRAINS)
    names = set((decode_value(row, Drains) or Drains()).names)
    names = names - {name} if is_undo else names | {name}
    drains = Drains(tuple(sorted(names)))
    check = Check(KEY_DRAINS, row.version if row is not None else 0)
    try:
        await async_commit(
            platform.table, [check], [Write(KEY_DRAINS, msgspec.to_builtins(drains))]
        )
    except TransactionConflict:
        message = "another operator changed the drains at the same moment"
        return make_failure(ExitCode.CONFLICT, message, "run it again")
    lines = [f"draining: {', '.join(drains.names) or 'nothing'}"]
    return Result(ExitCode.OK, lines, {"drains": list(drains.names)})
