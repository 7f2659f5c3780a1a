"""Settings of the programs, from INI files; unknown keys are rejected."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from .exceptions import SettingsError
from .ids import FailureDomainName, RegionName
from .ini import Problem, Section, decode_section, read_ini

SettingsT = TypeVar("SettingsT", bound=msgspec.Struct)

Descriptors = Annotated[int, Meta(ge=0, le=10_000_000)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Seconds = Annotated[float, Meta(gt=0, le=86400)]
Bytes = Annotated[int, Meta(ge=1024, le=1024**3)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Milliseconds = Annotated[float, Meta(gt=0, le=86_400_000)]
NotNegative = Annotated[float, Meta(ge=0)]
Address = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:]+$")]
Listen = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
Text = Annotated[str, Meta(min_length=1, max_length=256)]
LogLevel = Annotated[str, Meta(pattern=r"^(debug|info|warning|error)$")]

DEFAULT_PEER_PORT = 7101
REGIONS_SECTION = "regions"
"""The section whose keys are not fixed."""


class DaemonSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[daemon]``: identity and addresses of this process."""

    id: Text
    vm: Text
    failure_domain: Text
    address: Address
    port: Port
    peer_key: Text
    peer_port: Port = DEFAULT_PEER_PORT
    log_level: LogLevel = "info"
    drain_margin_s: Seconds = 1.0
    trace_url: str = ""


class PlatformSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[platform]``: access to the platform's services, with timeouts and limits."""

    url: Annotated[str, Meta(pattern=r"^https?://")]
    key: Text
    timeout_s: Seconds = 2.0
    poll_interval_s: Seconds = 1.0
    calls_per_s: Count = 200
    max_pause_s: Seconds = 4.0


class PeersSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[peers]``: links between daemons."""

    seeds: tuple[str, ...] = ()
    hubs_per_domain: Annotated[int, Meta(ge=1, le=8)] = 2
    heartbeat_interval_s: Seconds = 0.5
    peer_timeout_s: Seconds = 2.0
    suspicion_s: Seconds = 2.0


DEFAULT_MAX_ANSWER_BYTES = 8 * 1024 * 1024
DEFAULT_MEMORY_MB = 256.0
DEFAULT_MAX_HEADER_BYTES = 64 * 1024


class EndpointsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[endpoints]``: polling of endpoints and requests to them.

    ``max_answer_bytes`` limits the body of an answer, except for a stream's.
    """

    order_key: str = ""
    poll_interval_s: Seconds = 0.25
    poll_budget_bytes_s: Count = 6000
    report_timeout_s: Seconds = 1.0
    stale_after_s: Seconds = 3.0
    connect_timeout_s: Seconds = 1.0
    max_answer_bytes: Bytes = DEFAULT_MAX_ANSWER_BYTES


class GatewaySection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[gateway]``: limits and timeouts for requests of callers.

    ``grace_s`` is the time from a stop signal until the platform kills the process; 0
    if it doesn't, so that the gateway waits for all requests in flight.
    ``memory_mb`` is what the process may take; a quarter of it is for request bodies.
    ``max_descriptors`` are the file descriptors that it may have, 0 if only the system
    limits them; they and the memory limit the number of connections.
    """

    valid_s: Seconds = 2.0
    subset: Annotated[int, Meta(ge=1, le=64)] = 8
    max_body_bytes: Count = 1_000_000
    max_header_bytes: Bytes = DEFAULT_MAX_HEADER_BYTES
    max_queue: Count = 1000
    request_timeout_s: Seconds = 120.0
    idle_timeout_s: Seconds = 30.0
    retry_budget_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.1
    claim_flush_s: Seconds = 0.005
    claim_wait_s: Seconds = 10.0
    grace_s: Annotated[float, Meta(ge=0, le=86400)] = 0.0
    memory_mb: Annotated[float, Meta(ge=16, le=1_048_576)] = DEFAULT_MEMORY_MB
    max_descriptors: Descriptors = 0


class DirectorSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[director]``: the lease, and the rates of placement and of orders."""

    lease_s: Seconds = 3.0
    lease_margin_s: Seconds = 0.5
    tick_interval_s: Seconds = 0.25
    order_timeout_s: Seconds = 1.0
    order_lateness_s: Annotated[float, Meta(ge=0, le=86400)] = 600.0
    loads_per_s: Annotated[float, Meta(gt=0, le=1000)] = 2.0
    loads_at_once: Count = 8


class EntrySection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[entry]``: addresses of the entry program and bounds set by the operators.

    ``holder_gap_ms`` is the minimum time between orders of two lease holders.
    ``retry_ratio`` and ``retry_slack`` limit retries over all daemons in
    ``retry_window_s``; ``cold_load_excess`` limits the cold loads in
    ``cold_load_window_s`` as a multiple of the weight store's rate. A draining endpoint
    must get no new requests after ``drain_ms``, and every daemon must reject a
    quarantined request after ``quarantine_apply_ms``. Endpoints write a heartbeat every
    ``endpoint_heartbeat_ms``; ``cpu_share`` is this process's share of each core.
    In any ``quota_window_s``, a customer may exceed its quota by
    ``quota_excess_share`` of it plus ``quota_slack``, in the unit of its quota. With
    ``quota_lending``, daemons lend each other parts of their shares.
    ``max_answer_bytes`` limits the body of an endpoint's answer, except for a stream's.
    ``memory_mb`` is what the process may take; a share of it is for answers.
    ``max_descriptors`` are the file descriptors that it may have, 0 if only the system
    limits them; they and the memory limit the number of connections.
    Endpoints of an evacuated failure domain must get no new requests after
    ``evacuate_ms``; 0 means that evacuations have no bound of their own.
    With ``prefix_weighing``, endpoint selection weighs held prompt prefixes against
    waits and against the memory that they take from other prompts.
    """

    caller_listen: Listen
    peer_listen: Listen
    ready_listen: Listen
    directory_listen: Listen
    grace_s: Seconds
    config_apply_ms: Milliseconds
    drain_ms: Milliseconds
    quarantine_apply_ms: Milliseconds
    holder_gap_ms: Milliseconds
    retry_ratio: Annotated[float, Meta(ge=0, le=1)]
    retry_slack: NotNegative
    retry_window_s: Seconds
    cold_load_window_s: Seconds
    cold_load_excess: Annotated[float, Meta(ge=1, le=10)]
    endpoint_heartbeat_ms: Milliseconds = 1000
    quota_window_s: Seconds = 10.0
    quota_excess_share: Annotated[float, Meta(ge=0, le=10)] = 0.0
    quota_slack: NotNegative = 0.0
    quota_lending: bool = True
    cpu_share: Annotated[float, Meta(gt=0, le=1024)] = 1.0
    cpu_cores: Annotated[float, Meta(gt=0, le=1024)] = 1.0
    address_valid_s: Seconds = 1.0
    max_answer_bytes: Bytes = DEFAULT_MAX_ANSWER_BYTES
    memory_mb: Annotated[float, Meta(ge=16, le=1_048_576)] = DEFAULT_MEMORY_MB
    max_descriptors: Descriptors = 0
    evacuate_ms: Annotated[float, Meta(ge=0, le=86_400_000)] = 0.0
    prefix_weighing: bool = False


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All sections of an entry daemon's settings file.

    ``regions`` has one key for each failure domain, with its region as the value.
    """

    daemon: DaemonSection
    platform: PlatformSection
    entry: EntrySection
    peers: PeersSection = PeersSection()
    regions: dict[FailureDomainName, RegionName] = {}


class GatewaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All sections of a gateway's settings file."""

    daemon: DaemonSection
    platform: PlatformSection
    peers: PeersSection = PeersSection()
    endpoints: EndpointsSection = EndpointsSection()
    gateway: GatewaySection = GatewaySection()


class DirectorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All sections of a director's settings file."""

    daemon: DaemonSection
    platform: PlatformSection
    peers: PeersSection = PeersSection()
    endpoints: EndpointsSection = EndpointsSection()
    director: DirectorSection = DirectorSection()


class OperatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All sections of the settings file of the command line tool."""

    platform: PlatformSection


def load_settings(path: Path, kind: type[SettingsT]) -> SettingsT:
    """Read and validate a settings file.

    Parameters
    ----------
    path : Path
        The INI file.
    kind : type
        The msgspec struct type whose fields are the sections.

    Returns
    -------
    SettingsT
        Validated settings.

    Raises
    ------
    SettingsError
        With all problems found, one per line, each with its location.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(error), step="settings.read", peer=str(path)) from error
    result, problems = decode_settings(text, str(path), kind)
    if problems:
        message = "\n".join(str(problem) for problem in problems)
        raise SettingsError(message, step="settings.check", peer=str(path))
    return result


def decode_settings(
    text: str, file: str, kind: type[SettingsT]
) -> tuple[SettingsT | None, list[Problem]]:
    """Validate settings text; return the struct, or None, and the problems."""
    ini = read_ini(text, file)
    problems = list(ini.problems)
    fields = {f.name: f for f in msgspec.structs.fields(kind)}
    values: dict[str, object] = {}
    for section in ini.sections:
        if section.name not in fields:
            known = ", ".join(sorted(fields))
            message = f"unknown section; known sections: {known}"
            problems.append(Problem(file, section.line, section.name, "", message))
            continue
        if section.name == REGIONS_SECTION:
            value, found = _decode_regions(section, file)
        else:
            value, found = decode_section(section, fields[section.name].type, file)
        problems += found
        values[section.name] = value
    present = {section.name for section in ini.sections}
    for name, field in fields.items():
        if field.required and name not in present:
            problems.append(Problem(file, 1, name, "", "section is missing"))
    if problems:
        return None, problems
    return kind(**values), []


def _decode_regions(
    section: Section, file: str
) -> tuple[dict[FailureDomainName, RegionName], list[Problem]]:
    """Return the region of each failure domain; a region must not be empty."""
    regions = {
        FailureDomainName(key): RegionName(entry.value)
        for key, entry in section.entries.items()
    }
    problems = [
        Problem(file, entry.line, section.name, key, "region is empty")
        for key, entry in section.entries.items()
        if not entry.value
    ]
    return regions, problems


def describe_settings(settings: msgspec.Struct) -> str:
    """Return settings as INI text with secrets masked."""
    lines: list[str] = []
    for section_name, section in msgspec.structs.asdict(settings).items():
        lines.append(f"[{section_name}]")
        is_table = isinstance(section, dict)
        values = section if is_table else msgspec.structs.asdict(section)
        for key, value in values.items():
            if key.endswith("key") and value and not is_table:
                value = "***"
            elif isinstance(value, tuple):
                value = ", ".join(value)
            lines.append(f"{key} = {value}")
        lines.append("")
    return "\n".join(lines)
