"""Wire formats of endpoint registrations, reports and orders."""

from __future__ import annotations

from enum import Enum
from ipaddress import IPv4Address
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from ..decoding import MAX_NAME_CHARS, Count, Name, decode_json
from ..entry.endpoints import EndpointRecord, EndpointState
from ..exceptions import EndpointFailed
from ..ids import (
    AdapterName,
    EndpointId,
    FailureDomainName,
    ModelName,
    ServiceName,
    SoftwareVersion,
)
from ..placing.inventory import EndpointReport, Order, OrderAction

PATH_REPORT = "/api/report"
PATH_ORDER = "/api/order"
ADDRESS_PATTERN = r"\A[0-9.]{7,15}:[0-9]{1,5}\Z"
MAX_SLOTS = 1_000_000
MAX_COLD_MS = 86_400_000
MAX_MODELS = 4096
"""Maximum number of models of an endpoint, and of adapters of a model."""

Names = Annotated[list[Name], Meta(max_length=MAX_MODELS)]
AdapterText = Annotated[str, Meta(max_length=3 * MAX_NAME_CHARS)]
"""A model, an adapter and its version."""


class _WireState(Enum):
    """States that endpoints may register; any other value is rejected."""

    READY = "ready"
    DRAINING = "draining"


class _WireModel(msgspec.Struct):
    """A model in accelerator memory, with its loaded adapters."""

    name: Name
    version: int = 0
    adapters: Names = []


class _WireCopies(msgspec.Struct):
    """Models with local copies of their weights, in eviction order."""

    in_memory: Names = []
    on_disk: Names = []


class _WireRegistration(msgspec.Struct):
    """A row of the endpoint table.

    ``version`` is the version of the endpoint's software; ``born`` is the start of its
    process as Unix time in ms; ``cold_left_ms`` how long it will still be cold.
    The field ``seq`` numbers heartbeats here and is not decoded; in reports, it counts
    accepted orders.
    """

    service: Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARS)]
    address: Annotated[str, Meta(pattern=ADDRESS_PATTERN)]
    zone: Name
    version: Name
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    state: _WireState
    models: Annotated[list[_WireModel], Meta(max_length=MAX_MODELS)] = []
    born: Count = 0
    cold_left_ms: Annotated[float, Meta(ge=0, le=MAX_COLD_MS)] = 0.0


MS_PER_S = 1000.0
MAX_PORT = 65535
REGISTRATION_FIELDS = tuple(
    field.name for field in msgspec.structs.fields(_WireRegistration)
)


class _WireReport(msgspec.Struct):
    """Response to a report request.

    ``seq`` counts the accepted orders; ``busy`` is true while a model is being loaded
    or unloaded; ``coming`` lists adapters being loaded, as MODEL/NAME@VERSION;
    ``kv_used`` is the KV cache memory that cannot be reclaimed; ``born`` is the start
    of the process as Unix time in ms. ``seq`` starts again with each process.
    """

    seq: Count
    models: Annotated[list[_WireModel], Meta(max_length=MAX_MODELS)] = []
    busy: bool = False
    queued: Count = 0
    active: Count = 0
    kv_used: Count = 0
    kv_total: Count = 0
    coming: Annotated[list[AdapterText], Meta(max_length=MAX_MODELS)] = []
    at_hand: _WireCopies = msgspec.field(default_factory=_WireCopies)
    born: Count = 0


def compact_registration(value: Any) -> Any:
    """Keep only the decoded fields, so that a heartbeat alone is not a change.

    The time that the endpoint is still cold differs in each heartbeat, and is omitted
    once it is 0: the row changes a few times after a start, and once when it is warm.
    A value that is not an object is returned unchanged for the decoder to reject.
    """
    if not isinstance(value, dict):
        return value
    kept = {key: value[key] for key in REGISTRATION_FIELDS if key in value}
    if kept.get("cold_left_ms") == 0:
        del kept["cold_left_ms"]
    return kept


def decode_registration(endpoint: str, value: Any) -> EndpointRecord:
    """Decode an endpoint record from its row value.

    Raises
    ------
    EndpointFailed
        The value is not a valid registration.
    """
    step = "registration.decode"
    if not 0 < len(endpoint) <= MAX_NAME_CHARS or not endpoint.isprintable():
        # Requests name the endpoint in a header, which must be one line.
        raise EndpointFailed("endpoint id is invalid", step=step)
    try:
        wire = msgspec.convert(value, _WireRegistration)
        _check_address(wire.address)
    except ValueError as error:
        raise EndpointFailed(str(error), step=step, peer=endpoint) from error
    return EndpointRecord(
        id=EndpointId(endpoint),
        service=ServiceName(wire.service),
        address=wire.address,
        failure_domain=FailureDomainName(wire.zone),
        state=EndpointState(wire.state.value),
        slots=wire.slots,
        models=_decode_models(wire.models),
        born_ms=wire.born,
        software_version=SoftwareVersion(wire.version),
        cold_left_s=wire.cold_left_ms / MS_PER_S,
    )


def _check_address(address: str) -> None:
    """Raise ValueError unless an address has the IPv4 address and port of a host."""
    host, _, port = address.rpartition(":")
    ip = IPv4Address(host)
    if ip.is_unspecified or ip.is_multicast or ip.is_reserved:
        raise ValueError(f"{host} is not the address of a host")
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError("port number is out of range")


def decode_report(endpoint: EndpointId, body: bytes) -> EndpointReport:
    """Decode an endpoint's report.

    Raises
    ------
    EndpointFailed
        The body is not a valid report.
    """
    try:
        wire = decode_json(body, _WireReport)
    except msgspec.MsgspecError as error:
        raise EndpointFailed(str(error), step="report.decode", peer=endpoint) from error
    return EndpointReport(
        sequence=wire.seq,
        is_busy=wire.busy,
        models=_decode_models(wire.models),
        coming=tuple(_decode_adapter(text) for text in wire.coming),
        in_memory=frozenset(ModelName(name) for name in wire.at_hand.in_memory),
        on_disk=tuple(ModelName(name) for name in wire.at_hand.on_disk),
        queued=wire.queued,
        active=wire.active,
        kv_used_tokens=wire.kv_used,
        kv_total_tokens=wire.kv_total,
        born_ms=wire.born,
    )


def encode_order(order: Order) -> bytes:
    """Encode the body of an order request.

    ``expected_rev`` is the number of orders that the endpoint must have accepted
    so far. In store transactions, the same key holds conditions on rows.
    """
    body: dict[str, Any] = {
        "op": "load" if order.action is OrderAction.LOAD else "unload",
        "model": order.model,
        "expected_rev": order.expected_sequence,
        "holder": order.holder,
        "fence": order.fence,
    }
    if order.adapter:
        body["adapter"] = order.adapter
    return msgspec.json.encode(body)


def _decode_models(
    models: list[_WireModel],
) -> dict[ModelName, frozenset[AdapterName]]:
    return {
        ModelName(model.name): frozenset(AdapterName(name) for name in model.adapters)
        for model in models
    }


def _decode_adapter(text: str) -> tuple[ModelName, AdapterName]:
    model, _, rest = text.partition("/")
    return ModelName(model), AdapterName(rest.partition("@")[0])
