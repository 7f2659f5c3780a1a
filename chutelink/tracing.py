"""Propagation of trace context; spans are exported by ``trace_export``."""

from __future__ import annotations

from typing import Any

from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.trace import Span
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

_PROPAGATOR = TraceContextTextMapPropagator()


def extract_context(headers: Any) -> Context:
    """Return the caller's trace context from its headers."""
    return _PROPAGATOR.extract(headers)


def inject_context(span: Span, headers: dict[str, str]) -> None:
    """Add a span's context to the headers of a request."""
    _PROPAGATOR.inject(headers, context=trace.set_span_in_context(span))
