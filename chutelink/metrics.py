"""Prometheus metrics, whose labels have a bounded number of values."""

from __future__ import annotations

from aioprometheus import Counter, Gauge, Histogram, Registry, render

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0, 60.0)
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Metrics:
    """Metrics of one process, in a separate registry."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = self._counter("requests_total", "Requests by outcome")
        self.retries = self._counter("retries_total", "Retries by reason")
        self.silences = self._counter(
            "endpoint_silences_total", "Silences of endpoints by decision"
        )
        self.end_checks = self._counter(
            "stream_end_checks_total", "Checked ends of streams by result"
        )
        self.claims = self._counter("idempotency_claims_total", "Claims by result")
        self.moves = self._counter("moves_total", "Orders by action and result")
        self.violations = self._counter(
            "invariant_violations_total", "Invariants that did not hold, by step"
        )
        self.spans_dropped = self._counter("spans_dropped_total", "Spans not exported")
        self.endings = self._counter(
            "runs_ended_with_endpoint_total", "Runs that ended with their endpoint"
        )
        self.quota_decisions = self._counter(
            "quota_decisions_total", "Requests by customer and how quotas decided"
        )
        self.quota_loans_late = self._counter(
            "quota_loans_late_total", "Loans of quota that did not all come in time"
        )
        self.limited_sends = self._counter(
            "limited_sends_total", "Requests sent to endpoints that name a limit"
        )
        self.response_memory_waits = self._counter(
            "response_memory_waits_total", "Reads of responses that wait for memory"
        )
        self.closed_connections = self._counter(
            "connections_closed_for_room_total", "Connections closed for others by port"
        )
        self.refused_connections = self._counter(
            "connections_refused_total", "Connections that found no room by port"
        )
        self.pauses = self._counter(
            "endpoint_pauses_total", "Answers that ask for a pause"
        )
        self.stream_resumptions = self._counter(
            "stream_resumptions_total", "Streams resumed by callers, by decision"
        )
        self.permits = self._counter(
            "permits_total", "Permits requested for endpoints that name a limit"
        )
        self.cold_grants = self._counter(
            "cold_grants_total", "Grants requested for cold endpoints by verdict"
        )
        self.endpoints_cold = self._gauge(
            "endpoints_cold", "Endpoints in a cold or unknown state"
        )
        self.ineligible_endpoints = self._counter(
            "ineligible_endpoints_total", "Endpoints left out of selections by reason"
        )
        self.evacuated = self._gauge(
            "failure_domains_evacuated", "Failure domains that operators evacuated"
        )
        self.prompt_tokens = self._counter(
            "prompt_tokens_total", "Prompt tokens sent, by whether endpoints hold them"
        )
        self.home_region_errors = self._gauge(
            "home_region_errors", "Invalid home regions in the configuration in force"
        )
        self.held_requests = self._gauge(
            "requests_held", "Requests kept away that end their endpoints"
        )
        self.queue_length = self._gauge("queue_length", "Requests waiting")
        self.inflight = self._gauge("requests_in_flight", "Requests being served")
        self.lease_held = self._gauge("lease_held", "1 for each lease held")
        self.quarantined = self._gauge("endpoints_quarantined", "No loads sent there")
        self.unplaced = self._gauge("models_unplaced", "Models that found no place")
        self.partitioned = self._gauge(
            "endpoints_partitioned", "1 if this daemon reaches no endpoint"
        )
        self.relayed_calls = self._counter(
            "relayed_calls_total", "Calls to endpoints through peers, by role"
        )
        self.peer_links = self._gauge("peer_links", "Open links to peers")
        self.peer_messages = self._counter(
            "peer_messages_total", "Messages of links by kind, direction and scope"
        )
        self.peer_bytes = self._counter(
            "peer_bytes_total", "Bytes of links by kind, direction and scope"
        )
        self.members = self._gauge("members", "Daemons by state")
        self.config_version = self._gauge("config_version", "Version in force")
        self.config_confirmed = self._gauge(
            "config_confirmed", "1 if the table service confirmed the version"
        )
        self.request_seconds = Histogram(
            "chutelink_request_seconds",
            "Time to the first byte of the answer, in seconds",
            registry=self.registry,
            buckets=(*LATENCY_BUCKETS_S, float("inf")),
        )

        self.endpoints_age_seconds = Histogram(
            "chutelink_endpoints_age_seconds",
            "Age of the list of endpoints when a request's endpoint was chosen",
            registry=self.registry,
            buckets=(*LATENCY_BUCKETS_S, float("inf")),
        )

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        content, _ = render(self.registry, [CONTENT_TYPE])
        return content

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(f"chutelink_{name}", doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(f"chutelink_{name}", doc, registry=self.registry)
