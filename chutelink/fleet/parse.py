"""Parse and check a fleet file; every fault is listed with its place."""

from __future__ import annotations

import hashlib

import msgspec
from returns.result import Failure, Result, Success

from ..ini import IniFile, Problem, Section, decode_section, read_ini
from ..systems.packing import pack_minimum
from .model import (
    AdapterSpec,
    CallerSpec,
    EndpointKind,
    EndpointSpec,
    FailureDomainSpec,
    FleetOptions,
    FleetSpec,
    ModelSpec,
    RequestClass,
    ServiceSpec,
)

DEFAULT_REQUEST_CLASS = "default"
_NAME_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"
)
_MAX_NAME_LENGTH = 128


class _Kind(msgspec.Struct, frozen=True):
    """Where sections of one kind go."""

    spec: type
    table: str


_KINDS = {
    "failure_domain": _Kind(FailureDomainSpec, "failure_domains"),
    "endpoint": _Kind(EndpointSpec, "endpoints"),
    "request_class": _Kind(RequestClass, "request_classes"),
    "model": _Kind(ModelSpec, "models"),
    "adapter": _Kind(AdapterSpec, "adapters"),
    "service": _Kind(ServiceSpec, "services"),
    "caller": _Kind(CallerSpec, "callers"),
}


def hash_fleet(text: str) -> str:
    """Return the content hash that names a fleet file in the object store."""
    return hashlib.sha256(text.encode()).hexdigest()


def parse_fleet(
    text: str, file: str = "fleet", *, check_memory: bool = True
) -> Result[FleetSpec, list[Problem]]:
    """Parse and check a fleet file as a whole.

    Parameters
    ----------
    text : str
        INI text.
    file : str, default="fleet"
        The name for error messages.
    check_memory : bool, default=True
        Whether to check that every model can be resident; a daemon leaves this
        out for a file that was checked when it was applied.

    Returns
    -------
    Result
        The fleet, or all problems in the order of the file.
    """
    ini = read_ini(text, file)
    problems = list(ini.problems)
    tables: dict[str, dict] = {kind.table: {} for kind in _KINDS.values()}
    options: object = FleetOptions()
    for section in ini.sections:
        if section.name == "fleet":
            options, faults = decode_section(section, FleetOptions, file)
        else:
            faults = _read_entity(section, tables, file)
        problems += faults
    if problems:
        return Failure(_sorted(problems))
    classes = tables["request_classes"]
    classes.setdefault(DEFAULT_REQUEST_CLASS, RequestClass(DEFAULT_REQUEST_CLASS))
    fleet = FleetSpec(options=options, **tables)
    problems = _check_references(fleet, ini)
    if not problems and check_memory:
        problems = _check_residency(fleet, ini)
    return Failure(_sorted(problems)) if problems else Success(fleet)


def _sorted(problems: list[Problem]) -> list[Problem]:
    return sorted(problems, key=lambda problem: problem.line)


def _read_entity(section: Section, tables: dict, file: str) -> list[Problem]:
    kind_name, _, name = section.name.partition(" ")
    kind = _KINDS.get(kind_name)
    if kind is None:
        known = ", ".join(["fleet", *(f"{k} NAME" for k in _KINDS)])
        message = f"unknown section; known: {known}"
        return [Problem(file, section.line, section.name, "", message)]
    fits = 0 < len(name) <= _MAX_NAME_LENGTH and set(name) <= _NAME_CHARACTERS
    if not fits:
        message = (
            f"a name of 1 to {_MAX_NAME_LENGTH} letters, digits, '.', '_' or '-' "
            f"must follow {kind_name!r}"
        )
        return [Problem(file, section.line, section.name, "", message)]
    entity, problems = decode_section(section, kind.spec, file, {"name": name})
    if entity is not None:
        tables[kind.table][name] = entity
    return problems


class _Checker:
    """Collects problems, each at the line of the key at fault."""

    def __init__(self, ini: IniFile) -> None:
        self.problems: list[Problem] = []
        self._file = ini.file
        self._sections = {section.name: section for section in ini.sections}

    def fail(self, section_name: str, key: str, message: str) -> None:
        """Note a problem at a key, or at its section if the key is not given."""
        section = self._sections.get(section_name)
        entry = section.entries.get(key) if section else None
        line = entry.line if entry else section.line if section else 1
        self.problems.append(Problem(self._file, line, section_name, key, message))


def _check_references(fleet: FleetSpec, ini: IniFile) -> list[Problem]:
    check = _Checker(ini)
    _check_endpoints(fleet, check)
    for model in fleet.models.values():
        if model.request_class not in fleet.request_classes:
            message = f"no [request_class {model.request_class}]"
            check.fail(f"model {model.name}", "request_class", message)
    for adapter in fleet.adapters.values():
        place = f"adapter {adapter.name}"
        if adapter.model not in fleet.models:
            check.fail(place, "model", f"no [model {adapter.model}]")
        if adapter.name in fleet.models:
            check.fail(place, "", "a model has the same name")
    for service in fleet.services.values():
        _check_service(service, fleet, check)
    _check_callers(fleet, check)
    return check.problems


def _check_endpoints(fleet: FleetSpec, check: _Checker) -> None:
    by_url: dict[str, str] = {}
    for endpoint in fleet.endpoints.values():
        place = f"endpoint {endpoint.name}"
        if endpoint.failure_domain not in fleet.failure_domains:
            message = f"no [failure_domain {endpoint.failure_domain}]"
            check.fail(place, "failure_domain", message)
        other = by_url.setdefault(endpoint.url, endpoint.name)
        if other != endpoint.name:
            check.fail(place, "url", f"[endpoint {other}] has the same url")
        is_engine = endpoint.kind is EndpointKind.ENGINE
        if is_engine and (endpoint.memory_mb == 0 or endpoint.accelerators == 0):
            message = "an engine needs accelerators and memory_mb above 0"
            check.fail(place, "memory_mb", message)


def _check_service(service: ServiceSpec, fleet: FleetSpec, check: _Checker) -> None:
    place = f"service {service.name}"
    if not service.endpoints:
        check.fail(place, "endpoints", "at least one endpoint is needed")
    for name in service.endpoints:
        endpoint = fleet.endpoints.get(name)
        if endpoint is None:
            check.fail(place, "endpoints", f"no [endpoint {name}]")
        elif endpoint.kind is not EndpointKind.SERVICE:
            check.fail(place, "endpoints", f"[endpoint {name}] is not kind = service")


def _check_callers(fleet: FleetSpec, check: _Checker) -> None:
    by_key: dict[str, str] = {}
    for caller in fleet.callers.values():
        other = by_key.setdefault(caller.key_sha256, caller.name)
        if other != caller.name:
            message = f"[caller {other}] has the same key"
            check.fail(f"caller {caller.name}", "key_sha256", message)


def _check_residency(fleet: FleetSpec, ini: IniFile) -> list[Problem]:
    check = _Checker(ini)
    for name in pack_minimum(fleet).unplaced:
        message = (
            "not enough accelerator memory declared for every model to be resident; "
            "this one found no place"
        )
        check.fail(f"model {name}", "memory_mb", message)
    return check.problems
