"""Export of trace spans as OTLP over HTTP, through a bounded queue.

Only imported by daemons that export spans, because importing the OpenTelemetry SDK
takes 25 ms of a startup of 0.4 s.
"""

from __future__ import annotations

from collections import deque

import aiohttp
import msgspec
from mode import Service
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.sampling import ALWAYS_ON, ParentBased
from opentelemetry.trace import Tracer

from .log import EventLog
from .metrics import Metrics
from .responses import MAX_CONTROL_BYTES, async_read_body
from .steps import async_run_step

MAX_QUEUED_SPANS = 4096
EXPORT_INTERVAL_S = 1.0
EXPORT_TIMEOUT_S = 2.0


class SpanQueue(SpanProcessor):
    """Queues ended spans for export; drops the oldest when it is full."""

    def __init__(self, metrics: Metrics) -> None:
        self.spans: deque[ReadableSpan] = deque()
        self._metrics = metrics

    def on_end(self, span: ReadableSpan) -> None:
        """Queue an ended span."""
        if len(self.spans) >= MAX_QUEUED_SPANS:
            self.spans.popleft()
            self._metrics.spans_dropped.inc({})
        self.spans.append(span)


class SpanExporter(Service):
    """Periodically sends queued spans to a collector."""

    def __init__(
        self,
        queue: SpanQueue,
        session: aiohttp.ClientSession,
        url: str,
        log: EventLog,
    ) -> None:
        super().__init__()
        self._queue = queue
        self._session = session
        self._url = url
        self._event_log = log

    @Service.task
    async def _async_export_loop(self) -> None:
        while not self.should_stop:
            await self.sleep(EXPORT_INTERVAL_S)
            await async_run_step(
                self, self._event_log, "spans.export", self.async_flush
            )

    async def async_flush(self) -> None:
        """Send the queued spans; they are lost if the collector can't be reached."""
        if not self._queue.spans:
            return
        spans = list(self._queue.spans)
        self._queue.spans.clear()
        try:
            async with self._session.post(
                self._url,
                data=msgspec.json.encode(encode_spans(spans)),
                headers={"Content-Type": "application/json"},
                timeout=aiohttp.ClientTimeout(total=EXPORT_TIMEOUT_S),
            ) as response:
                await async_read_body(response, MAX_CONTROL_BYTES)
        except (aiohttp.ClientError, TimeoutError) as error:
            self._event_log.warning("span_export_failed", spans=len(spans), error=error)


def make_tracer(program: str, daemon_id: str, queue: SpanQueue) -> Tracer:
    """Return a tracer that queues its spans when they end."""
    resource = Resource({"service.name": program, "service.instance.id": daemon_id})
    provider = TracerProvider(
        sampler=ParentBased(ALWAYS_ON), resource=resource, shutdown_on_exit=False
    )
    provider.add_span_processor(queue)
    return provider.get_tracer(program)


def encode_spans(spans: list[ReadableSpan]) -> dict:
    """Encode spans in the OTLP JSON format."""
    if not spans:
        return {"resourceSpans": []}
    resource = [
        {"key": key, "value": {"stringValue": str(value)}}
        for key, value in spans[0].resource.attributes.items()
    ]
    scope = {"name": spans[0].instrumentation_scope.name}
    scope_spans = {"scope": scope, "spans": [_encode_span(span) for span in spans]}
    return {
        "resourceSpans": [
            {"resource": {"attributes": resource}, "scopeSpans": [scope_spans]}
        ]
    }


def _encode_span(span: ReadableSpan) -> dict:
    encoded = {
        "traceId": f"{span.context.trace_id:032x}",
        "spanId": f"{span.context.span_id:016x}",
        "name": span.name,
        "kind": span.kind.value + 1,
        "startTimeUnixNano": str(span.start_time),
        "endTimeUnixNano": str(span.end_time),
        "attributes": [
            {"key": key, "value": {"stringValue": str(value)}}
            for key, value in (span.attributes or {}).items()
        ],
    }
    if span.parent is not None:
        encoded["parentSpanId"] = f"{span.parent.span_id:016x}"
    return encoded
