"""Identifiers, one type for each kind of thing named."""

from __future__ import annotations

import secrets
from typing import NewType

AdapterName = NewType("AdapterName", str)
ApplyId = NewType("ApplyId", str)
ArtifactName = NewType("ArtifactName", str)
AttemptId = NewType("AttemptId", str)
BootId = NewType("BootId", str)
CallerName = NewType("CallerName", str)
ConfigVersion = NewType("ConfigVersion", int)
CustomerName = NewType("CustomerName", str)
DaemonId = NewType("DaemonId", str)
EndpointId = NewType("EndpointId", str)
EndpointName = NewType("EndpointName", str)
FailureDomainName = NewType("FailureDomainName", str)
FencingNumber = NewType("FencingNumber", int)
Fingerprint = NewType("Fingerprint", str)
"""What requests have in common that ask for the same with the same content."""
Incarnation = NewType("Incarnation", str)
KeyHash = NewType("KeyHash", str)
"""SHA-256 of a caller's key, in hex."""
ModelName = NewType("ModelName", str)
RequestId = NewType("RequestId", str)
RouteName = NewType("RouteName", str)
ServiceName = NewType("ServiceName", str)
VmId = NewType("VmId", str)
ModelRef = NewType("ModelRef", str)
"""A model, or MODEL/ADAPTER, as callers name what they ask for."""
StoreEra = NewType("StoreEra", int)
"""Rises when the table service comes back from an older copy of itself.

It then has lost writes, and gives out their versions again.
"""
WriteId = NewType("WriteId", str)

NO_ERA = StoreEra(0)
"""Of a table service that names none: it loses nothing that it acknowledged."""
FIRST_ERA = StoreEra(1)
"""Of a table service that has lost nothing yet: what it lacks was never written."""
NO_VERSION = ConfigVersion(0)


def make_id() -> str:
    """Return a new random id of 128 bits in hex."""
    return secrets.token_hex(16)


def incarnation_of(endpoint: EndpointId, born_ms: int) -> Incarnation:
    """Return the name of one process of an endpoint."""
    return Incarnation(f"{endpoint}@{born_ms}")


def model_ref(model: ModelName, adapter: AdapterName) -> ModelRef:
    """Return the name of a model, or of an adapter of it."""
    return ModelRef(f"{model}/{adapter}" if adapter else model)
