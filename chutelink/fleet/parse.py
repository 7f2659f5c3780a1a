"""Parse and validate a fleet file; each problem is reported with its location."""

from __future__ import annotations

import hashlib

import msgspec
from returns.result import Failure, Result, Success

from ..ini import IniFile, Problem, Section, decode_section, read_ini
from ..systems.packing import pack_minimum_replicas
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


class _SectionKind(msgspec.Struct, frozen=True):
    """Struct type and table name for sections of one kind."""

    spec: type
    table: str


_SECTION_KINDS = {
    "failure_domain": _SectionKind(FailureDomainSpec, "failure_domains"),
    "endpoint": _SectionKind(EndpointSpec, "endpoints"),
    "request_class": _SectionKind(RequestClass, "request_classes"),
    "model": _SectionKind(ModelSpec, "models"),
    "adapter": _SectionKind(AdapterSpec, "adapters"),
    "service": _SectionKind(ServiceSpec, "services"),
    "caller": _SectionKind(CallerSpec, "callers"),
}


def hash_fleet(text: str) -> str:
    """Return the content hash under which the object store holds a fleet file."""
    return hashlib.sha256(text.encode()).hexdigest()


def parse_fleet(
    text: str, file: str = "fleet", *, check_memory: bool = True
) -> Result[FleetSpec, list[Problem]]:
    """Parse and validate a whole fleet file.

    Parameters
    ----------
    text : str
        Content of the file, in INI format.
    file : str, default="fleet"
        File name for error messages.
    check_memory : bool, default=True
        Whether to check that all models fit into the accelerator memory. Daemons
        skip this check because it was made when the file was applied.

    Returns
    -------
    Result
        The fleet, or all problems in file order.
    """
    ini = read_ini(text, file)
    problems = list(ini.problems)
    tables: dict[str, dict] = {kind.table: {} for kind in _SECTION_KINDS.values()}
    options: object = FleetOptions()
    for section in ini.sections:
        if section.name == "fleet":
            options, section_problems = decode_section(section, FleetOptions, file)
        else:
            section_problems = _read_entity(section, tables, file)
        problems += section_problems
    if problems:
        return Failure(_sort_by_line(problems))
    classes = tables["request_classes"]
    classes.setdefault(DEFAULT_REQUEST_CLASS, RequestClass(DEFAULT_REQUEST_CLASS))
    fleet = FleetSpec(options=options, **tables)
    problems = _check_references(fleet, ini)
    if not problems and check_memory:
        problems = _check_memory(fleet, ini)
    return Failure(_sort_by_line(problems)) if problems else Success(fleet)


def _sort_by_line(problems: list[Problem]) -> list[Problem]:
    return sorted(problems, key=lambda problem: problem.line)


def _read_entity(section: Section, tables: dict, file: str) -> list[Problem]:
    kind_name, _, name = section.name.partition(" ")
    kind = _SECTION_KINDS.get(kind_name)
    if kind is None:
        known = ", ".join(["fleet", *(f"{k} NAME" for k in _SECTION_KINDS)])
        message = f"unknown section; known sections: {known}"
        return [Problem(file, section.line, section.name, "", message)]
    is_valid_name = 0 < len(name) <= _MAX_NAME_LENGTH and set(name) <= _NAME_CHARACTERS
    if not is_valid_name:
        message = (
            f"a name of 1 to {_MAX_NAME_LENGTH} letters, digits, '.', '_' or '-' "
            f"must follow {kind_name!r}"
        )
        return [Problem(file, section.line, section.name, "", message)]
    entity, problems = decode_section(section, kind.spec, file, {"name": name})
    if entity is not None:
        tables[kind.table][name] = entity
    return problems


class _ProblemCollector:
    """Collects problems, each with the line of the invalid key."""

    def __init__(self, ini: IniFile) -> None:
        self.problems: list[Problem] = []
        self._file = ini.file
        self._sections = {section.name: section for section in ini.sections}

    def add(self, section_name: str, key: str, message: str) -> None:
        """Add a problem at a key, or at its section if the key is not set there."""
        section = self._sections.get(section_name)
        entry = section.entries.get(key) if section else None
        line = entry.line if entry else section.line if section else 1
        self.problems.append(Problem(self._file, line, section_name, key, message))


def _check_references(fleet: FleetSpec, ini: IniFile) -> list[Problem]:
    collector = _ProblemCollector(ini)
    _check_endpoints(fleet, collector)
    for model in fleet.models.values():
        if model.request_class not in fleet.request_classes:
            message = f"[request_class {model.request_class}] is not declared"
            collector.add(f"model {model.name}", "request_class", message)
    for adapter in fleet.adapters.values():
        section = f"adapter {adapter.name}"
        if adapter.model not in fleet.models:
            collector.add(section, "model", f"[model {adapter.model}] is not declared")
        if adapter.name in fleet.models:
            collector.add(section, "", "a model has the same name as this adapter")
    for service in fleet.services.values():
        _check_service(service, fleet, collector)
    _check_callers(fleet, collector)
    return collector.problems


def _check_endpoints(fleet: FleetSpec, collector: _ProblemCollector) -> None:
    by_url: dict[str, str] = {}
    for endpoint in fleet.endpoints.values():
        section = f"endpoint {endpoint.name}"
        if endpoint.failure_domain not in fleet.failure_domains:
            message = f"[failure_domain {endpoint.failure_domain}] is not declared"
            collector.add(section, "failure_domain", message)
        first = by_url.setdefault(endpoint.url, endpoint.name)
        if first != endpoint.name:
            collector.add(section, "url", f"[endpoint {first}] has the same url")
        is_engine = endpoint.kind is EndpointKind.ENGINE
        if is_engine and (endpoint.memory_mb == 0 or endpoint.accelerators == 0):
            message = "accelerators and memory_mb of an engine must be greater than 0"
            collector.add(section, "memory_mb", message)


def _check_service(
    service: ServiceSpec, fleet: FleetSpec, collector: _ProblemCollector
) -> None:
    section = f"service {service.name}"
    if not service.endpoints:
        collector.add(section, "endpoints", "at least one endpoint is required")
    for name in service.endpoints:
        endpoint = fleet.endpoints.get(name)
        if endpoint is None:
            collector.add(section, "endpoints", f"[endpoint {name}] is not declared")
        elif endpoint.kind is not EndpointKind.SERVICE:
            collector.add(
                section, "endpoints", f"[endpoint {name}] does not have kind = service"
            )


def _check_callers(fleet: FleetSpec, collector: _ProblemCollector) -> None:
    by_key: dict[str, str] = {}
    for caller in fleet.callers.values():
        first = by_key.setdefault(caller.key_sha256, caller.name)
        if first != caller.name:
            message = f"[caller {first}] has the same key"
            collector.add(f"caller {caller.name}", "key_sha256", message)


def _check_memory(fleet: FleetSpec, ini: IniFile) -> list[Problem]:
    collector = _ProblemCollector(ini)
    for name in pack_minimum_replicas(fleet).unplaced:
        message = (
            "the declared accelerator memory is too small to keep all models loaded; "
            "this model does not fit"
        )
        collector.add(f"model {name}", "memory_mb", message)
    return collector.problems
