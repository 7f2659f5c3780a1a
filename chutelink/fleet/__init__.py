"""Declarative fleet file: the models and services to run, where and for whom."""

from .diff import Change, diff_fleets
from .model import (
    Artifact,
    ArtifactKind,
    CallerSpec,
    EndpointKind,
    EndpointSpec,
    FleetSpec,
    LatePolicy,
    ModelSpec,
    RequestClass,
    ServiceSpec,
)
from .parse import hash_fleet, parse_fleet

__all__ = [
    "Artifact",
    "ArtifactKind",
    "CallerSpec",
    "Change",
    "EndpointKind",
    "EndpointSpec",
    "FleetSpec",
    "LatePolicy",
    "ModelSpec",
    "RequestClass",
    "ServiceSpec",
    "diff_fleets",
    "hash_fleet",
    "parse_fleet",
]
