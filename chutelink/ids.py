"""Types of identifiers, one for each kind of object."""

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
"""Hash shared by requests with the same target and content."""
Incarnation = NewType("Incarnation", str)
KeyHash = NewType("KeyHash", str)
"""SHA-256 of a caller's key, in hex."""
ModelName = NewType("ModelName", str)
RegionName = NewType("RegionName", str)
"""A region, which contains one or more failure domains."""
RequestId = NewType("RequestId", str)
RouteName = NewType("RouteName", str)
ServiceName = NewType("ServiceName", str)
SoftwareVersion = NewType("SoftwareVersion", str)
"""Version of the software that an endpoint runs, not of its models' weights."""
VmId = NewType("VmId", str)
ModelRef = NewType("ModelRef", str)
"""MODEL or MODEL/ADAPTER, as named by callers in requests."""
StoreEra = NewType("StoreEra", int)
"""Number that increases when the table service is restored from an older copy.

The table service has then lost writes and assigns their versions again.
"""
WriteId = NewType("WriteId", str)

NO_ERA = StoreEra(0)
"""Era of a table service that reports none; it never loses acknowledged writes."""
FIRST_ERA = StoreEra(1)
"""Era of a table service that has lost no writes: an absent row was never written."""
NO_VERSION = ConfigVersion(0)


def make_id() -> str:
    """Return a new random 128-bit id in hex."""
    return secrets.token_hex(16)


def incarnation_of(endpoint: EndpointId, born_ms: int) -> Incarnation:
    """Return the identifier of one process of an endpoint."""
    return Incarnation(f"{endpoint}@{born_ms}")


def model_ref(model: ModelName, adapter: AdapterName) -> ModelRef:
    """Return the reference to a model, or to one of its adapters."""
    return ModelRef(f"{model}/{adapter}" if adapter else model)
