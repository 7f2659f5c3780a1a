"""Commit a fleet file in one transaction, and resolve it if the reply was lost."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import msgspec
from returns.result import Failure, Success

from ..configuration import ConfigHead
from ..const import KEY_CONFIG_HEAD, PREFIX_APPLY, PREFIX_VERSION
from ..exceptions import TransactionConflict, WriteOutcomeUnknown
from ..fleet import FleetSpec, diff_fleets, hash_fleet, parse_fleet
from ..ids import NO_VERSION, ApplyId, ConfigVersion, make_id
from ..store import Check, Platform, Row, Write, async_commit, decode_value
from ..store.transactions import ABANDONED_VALUE
from .daemons import DaemonClient
from .output import ExitCode, Result, make_failure

WAIT_POLL_S = 0.1


class VersionRow(msgspec.Struct, frozen=True):
    """History row of one committed version.

    ``applied_at`` is from the operator's wall clock and only displayed.
    """

    version: ConfigVersion
    hash: str
    apply_id: ApplyId
    base: ConfigVersion
    applied_at: str


def read_fleet(path: Path) -> tuple[FleetSpec | None, str, list[str]]:
    """Return the parsed fleet, the file's text and a list of problems."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return None, "", [f"{path}: {error}"]
    result = parse_fleet(text, str(path))
    if isinstance(result, Failure):
        return None, text, [str(problem) for problem in result.failure()]
    return result.unwrap(), text, []


def validate(path: Path) -> Result:
    """Check a fleet file without contacting the platform."""
    fleet, _, problems = read_fleet(path)
    if fleet is None:
        return Result(ExitCode.INVALID, problems, {"problems": problems})
    counts = {
        table: len(getattr(fleet, table))
        for table in ("models", "adapters", "endpoints", "services", "callers")
    }
    summary = ", ".join(f"{count} {table}" for table, count in counts.items())
    return Result(ExitCode.OK, [f"{path}: valid: {summary}"], {"counts": counts})


async def async_read_head(platform: Platform) -> tuple[ConfigHead | None, int]:
    """Return the head of the committed configuration and its row version."""
    row = (await platform.table.async_read(KEY_CONFIG_HEAD)).get(KEY_CONFIG_HEAD)
    return decode_value(row, ConfigHead), row.version if row is not None else 0


async def async_read_version(
    platform: Platform, version: ConfigVersion
) -> FleetSpec | None:
    """Return the fleet of a committed version; None if it is missing or not whole."""
    key = f"{PREFIX_VERSION}{version:08d}"
    row = decode_value((await platform.table.async_read(key)).get(key), VersionRow)
    body = await platform.objects.async_get(row.hash) if row is not None else None
    text = None if body is None else body.decode(errors="replace")
    if text is None or hash_fleet(text) != row.hash:
        return None
    result = parse_fleet(text, f"version-{version}", check_memory=False)
    return result.unwrap() if isinstance(result, Success) else None


class Applier:
    """Commits fleet files.

    Parameters
    ----------
    platform : Platform
        Platform that stores the committed versions.
    daemons : DaemonClient
        Queries daemons for their version in force, for ``--wait``.
    """

    def __init__(self, platform: Platform, daemons: DaemonClient) -> None:
        self._platform = platform
        self._daemons = daemons

    async def async_apply(
        self, path: Path, base: ConfigVersion, apply_id: ApplyId | None
    ) -> Result:
        """Commit a fleet file, if the version that it is based on is still current."""
        fleet, text, problems = read_fleet(path)
        if fleet is None:
            return Result(ExitCode.INVALID, problems, {"problems": problems})
        head, head_row_version = await async_read_head(self._platform)
        current = head.version if head is not None else NO_VERSION
        if current != base:
            return await self._async_make_conflict(fleet, base, current)
        name = hash_fleet(text)
        # Write the body first, so that a head never refers to a missing object.
        await self._platform.objects.async_put(name, text.encode())
        apply_id = apply_id or ApplyId(make_id())
        version = ConfigVersion(base + 1)
        new_head = ConfigHead(version, name, apply_id)
        row = VersionRow(
            version, name, apply_id, base, time.strftime("%Y-%m-%dT%H:%M:%SZ")
        )
        try:
            await self._async_commit(new_head, row, head_row_version)
        except TransactionConflict:
            return await self._async_resolve_conflict(fleet, base, apply_id)
        except WriteOutcomeUnknown:
            return self._make_unknown(apply_id)
        return self._make_accepted(version, apply_id)

    async def _async_commit(
        self, head: ConfigHead, row: VersionRow, head_row_version: int
    ) -> None:
        apply_key = PREFIX_APPLY + head.apply_id
        version_key = f"{PREFIX_VERSION}{head.version:08d}"
        await async_commit(
            self._platform.table,
            [
                Check(apply_key, 0),
                Check(KEY_CONFIG_HEAD, head_row_version),
                Check(version_key, 0),
            ],
            [
                Write(apply_key, msgspec.to_builtins(head)),
                Write(KEY_CONFIG_HEAD, msgspec.to_builtins(head)),
                Write(version_key, msgspec.to_builtins(row)),
            ],
        )

    async def _async_resolve_conflict(
        self, fleet: FleetSpec, base: ConfigVersion, apply_id: ApplyId
    ) -> Result:
        head, _ = await async_read_head(self._platform)
        current = head.version if head is not None else NO_VERSION
        if current != base:
            return await self._async_make_conflict(fleet, base, current)
        return make_failure(
            ExitCode.FAILED,
            f"not accepted: apply {apply_id} was given up when its reply was lost",
            "apply again",
        )

    async def _async_make_conflict(
        self, fleet: FleetSpec, base: ConfigVersion, current: ConfigVersion
    ) -> Result:
        """Return the conflict, with the changes of both operators since the base."""
        theirs = await async_read_version(self._platform, current)
        before = await async_read_version(self._platform, base)
        changes = diff_fleets(before, theirs) if theirs is not None else []
        own_changes = diff_fleets(before, fleet)
        lines = [f"conflict: based on version {base}, but {current} is in force"]
        lines += [f"  theirs: {change}" for change in changes]
        lines += [f"  yours:  {change}" for change in own_changes]
        lines.append(f"merge the changes, then apply with --base {current}")
        data = {
            "error": "conflict",
            "base": base,
            "current": current,
            "theirs": [str(change) for change in changes],
            "yours": [str(change) for change in own_changes],
        }
        return Result(ExitCode.CONFLICT, lines, data)

    async def async_resume(self, apply_id: ApplyId) -> Result:
        """Determine the outcome of an apply whose reply was lost.

        If the apply has no row, one that marks it as abandoned is written first: the
        result "not accepted" then holds even if the apply's write is still in flight.
        """
        key = PREFIX_APPLY + apply_id
        row = (await self._platform.table.async_read(key)).get(key)
        if row is None:
            try:
                await async_commit(
                    self._platform.table, [Check(key, 0)], [Write(key, ABANDONED_VALUE)]
                )
            except TransactionConflict:
                row = (await self._platform.table.async_read(key)).get(key)
            except WriteOutcomeUnknown:
                return self._make_unknown(apply_id)
        return self._make_resumed(row, apply_id)

    def _make_resumed(self, row: Row | None, apply_id: ApplyId) -> Result:
        head = decode_value(row, ConfigHead)
        if head is not None:
            return self._make_accepted(head.version, apply_id)
        message = f"not accepted: apply {apply_id} took no effect and never will"
        return make_failure(ExitCode.FAILED, message, "apply again")

    def _make_accepted(self, version: ConfigVersion, apply_id: ApplyId) -> Result:
        line = f"accepted as version {version} (apply {apply_id})"
        return Result(ExitCode.OK, [line], {"version": version, "apply_id": apply_id})

    def _make_unknown(self, apply_id: ApplyId) -> Result:
        return make_failure(
            ExitCode.UNKNOWN,
            f"unknown: the reply to apply {apply_id} was lost",
            f"run: chutelink apply --resume {apply_id}",
        )

    async def async_wait(self, version: ConfigVersion, timeout_s: float) -> Result:
        """Wait until every live daemon has a version in force, up to a timeout."""
        started_s = time.monotonic()
        while True:
            behind = await self._async_find_behind(version)
            elapsed_s = time.monotonic() - started_s
            if not behind:
                line = f"version {version} in force everywhere after {elapsed_s:.2f} s"
                data = {"version": version, "elapsed_s": round(elapsed_s, 3)}
                return Result(ExitCode.OK, [line], data)
            if elapsed_s >= timeout_s:
                lines = [f"version {version} not in force after {elapsed_s:.1f} s at:"]
                lines += [f"  {daemon}: {why}" for daemon, why in behind.items()]
                data = {"version": version, "behind": behind}
                return Result(ExitCode.NOT_IN_FORCE, lines, data)
            await asyncio.sleep(WAIT_POLL_S)

    async def _async_find_behind(self, version: ConfigVersion) -> dict[str, str]:
        survey = await self._daemons.async_survey()
        behind = {name: "does not answer" for name in survey.silent}
        for status in survey.statuses:
            if status.version < version:
                behind[status.daemon] = f"has version {status.version}"
        return behind
