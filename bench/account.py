"""Reports why requests failed, from the logs of entry daemons."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Iterator
from datetime import datetime
from enum import Enum
from pathlib import Path

import msgspec

WINDOW_S = 2.0
"""Width of the time buckets in the table and the plot."""
MAX_ROWS = 12
FIRST_ERROR_STATUS = 400
FIRST_SERVER_ERROR_STATUS = 500
EMPTY_VALUES = ("", "None", '""')
_FIELD = re.compile(r'(\w+)=("[^"]*"|\S*)')


class FailureReason(Enum):
    """Why a request was not answered in time."""

    FIRST_EVENT_LATE = "first event late at an endpoint"
    LATE_AFTER_MODEL_WAIT = "late after waiting for its model"
    PAUSE_TOO_LONG = "pause too long"
    ANSWER_LATE = "answer late"
    MODEL_NOT_LOADED = "model not loaded"
    MODEL_LOADING = "model being loaded"
    ADAPTER_NOT_LOADED = "adapter not loaded"
    ENDPOINTS_BUSY = "endpoints busy"
    NOT_ACCEPTED = "no endpoint took it"
    NOT_RESUMABLE = "stream not resumable"
    DAEMON_STOPPING = "daemon stopping or starting"
    CALLER_LEFT_WHILE_HELD = "caller left while held"
    CALLER_LEFT_AT_ENDPOINT = "caller left while at an endpoint"
    CUT_OFF = "cut off, or without an answer"
    ENDPOINT_ERROR = "error of the endpoint"
    OTHER_REFUSAL = "other refusal"


REFUSAL_REASONS = {
    "the model is not loaded": FailureReason.MODEL_NOT_LOADED,
    "the model is being loaded": FailureReason.MODEL_LOADING,
    "the adapter is not loaded": FailureReason.ADAPTER_NOT_LOADED,
    "the adapter is being loaded": FailureReason.ADAPTER_NOT_LOADED,
    "endpoints are busy": FailureReason.ENDPOINTS_BUSY,
    "no endpoint took the request": FailureReason.NOT_ACCEPTED,
    "no endpoint is ready": FailureReason.NOT_ACCEPTED,
    "the stream cannot be resumed": FailureReason.NOT_RESUMABLE,
    "this daemon is stopping": FailureReason.DAEMON_STOPPING,
    "no configuration yet": FailureReason.DAEMON_STOPPING,
}


class LogLine(msgspec.Struct, frozen=True):
    """One log event of a daemon; ``at_s`` is wall-clock time."""

    at_s: float
    daemon: str
    event: str
    fields: dict[str, str]

    def get(self, name: str) -> str:
        """Return a field, or an empty string if it is absent."""
        value = self.fields.get(name, "").strip('"')
        return "" if value in EMPTY_VALUES else value

    def number(self, name: str) -> float | None:
        """Return a field as a number, or None if it is absent."""
        value = self.get(name)
        return float(value) if value else None


class FailedRequest(msgspec.Struct, frozen=True):
    """A request that was not answered in time; ``at_s`` is its arrival time."""

    at_s: float
    reason: FailureReason
    objective_s: float
    model: str
    adapter: str
    endpoint: str


class FailureReport(msgspec.Struct):
    """Summary of some logs; times are in seconds from the first request."""

    answered: int = 0
    failures: list[FailedRequest] = []
    changes: list[tuple[float, str, str, str]] = []
    """Time, endpoint, loaded artifact and reason of each placement change."""


def parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Parse log lines.

    The name of the daemon is the last word before ``time=``, or else the field
    ``daemon``.
    """
    for line in lines:
        start = line.find("time=")
        if start < 0 or " event=" not in line:
            continue
        fields = dict(_FIELD.findall(line[start:]))
        at = datetime.fromisoformat(fields.pop("time"))
        words = line[:start].split()
        daemon = words[-1] if words else fields.get("daemon", "")
        yield LogLine(at.timestamp(), daemon, fields.pop("event"), fields)


def build_report(lines: Iterable[str]) -> FailureReport:
    """Classify the requests and collect the placement changes."""
    report = FailureReport()
    waited_for_model: set[str] = set()
    first_arrival_s: float | None = None
    for line in parse_lines(lines):
        if line.event == "model_waited_for":
            waited_for_model.add(line.get("request"))
        elif line.event == "placement_begun":
            artifact = "/".join(filter(None, (line.get("model"), line.get("adapter"))))
            report.changes.append(
                (line.at_s, line.get("endpoint"), artifact, line.get("reason"))
            )
        elif line.event == "request" and line.get("route"):
            at_s = line.at_s - (line.number("took_s") or 0.0)
            first_arrival_s = (
                at_s if first_arrival_s is None else min(first_arrival_s, at_s)
            )
            _add_request(report, line, at_s, waited_for_model)
    _make_times_relative(report, first_arrival_s or 0.0)
    return report


def _add_request(
    report: FailureReport, line: LogLine, at_s: float, waited_for_model: set[str]
) -> None:
    report.answered += int(line.number("good_left_out") or 0)
    reason = classify(
        line, has_waited_for_model=line.get("request") in waited_for_model
    )
    if reason is None:
        report.answered += 1
        return
    report.failures.append(
        FailedRequest(
            at_s,
            reason,
            line.number("objective_s") or 0.0,
            line.get("model"),
            line.get("adapter"),
            line.get("endpoints").rpartition(",")[2],
        )
    )


def _make_times_relative(report: FailureReport, first_arrival_s: float) -> None:
    """Convert wall-clock times to seconds since the first request."""
    report.failures = [
        msgspec.structs.replace(failed, at_s=failed.at_s - first_arrival_s)
        for failed in report.failures
    ]
    report.changes = [(at - first_arrival_s, *rest) for at, *rest in report.changes]


def classify(line: LogLine, *, has_waited_for_model: bool) -> FailureReason | None:
    """Return why a request failed, or None if it was answered in time."""
    outcome = line.get("outcome")
    if outcome == "caller_gone":
        return (
            FailureReason.CALLER_LEFT_AT_ENDPOINT
            if line.get("endpoints")
            else FailureReason.CALLER_LEFT_WHILE_HELD
        )
    if outcome == "answered":
        return _classify_answer(line, has_waited_for_model=has_waited_for_model)
    if outcome == "not-run":
        return REFUSAL_REASONS.get(line.get("reason"), FailureReason.OTHER_REFUSAL)
    return FailureReason.CUT_OFF


def _classify_answer(
    line: LogLine, *, has_waited_for_model: bool
) -> FailureReason | None:
    status = int(line.number("status") or 0)
    if status >= FIRST_SERVER_ERROR_STATUS:
        return FailureReason.ENDPOINT_ERROR
    if status >= FIRST_ERROR_STATUS:
        return FailureReason.OTHER_REFUSAL
    objective_s = line.number("objective_s") or 0.0
    first_s = line.number("first_event_s")
    if first_s is None:
        is_late = (line.number("took_s") or 0.0) > objective_s > 0
        return FailureReason.ANSWER_LATE if is_late else None
    if first_s > objective_s:
        return (
            FailureReason.LATE_AFTER_MODEL_WAIT
            if has_waited_for_model
            else FailureReason.FIRST_EVENT_LATE
        )
    max_pause_s = line.number("max_pause_s") or 0.0
    if (line.number("longest_pause_s") or 0.0) > max_pause_s > 0:
        return FailureReason.PAUSE_TOO_LONG
    return None


def _table(title: str, counts: dict[str, Counter[str]], columns: list[str]) -> str:
    """Return a Markdown table, sorted by the number of failed requests."""
    rows = sorted(counts.items(), key=lambda item: -item[1].total())[:MAX_ROWS]
    lines = [f"| {title} | failed | " + " | ".join(columns) + " |"]
    lines.append("| --- " * (len(columns) + 2) + "|")
    for name, by_reason in rows:
        cells = " | ".join(str(by_reason[column]) for column in columns)
        lines.append(f"| {name} | {by_reason.total()} | {cells} |")
    return "\n".join(lines)


def render(report: FailureReport) -> str:
    """Return the report as Markdown."""
    total = Counter(failed.reason.value for failed in report.failures)
    columns = [reason for reason, _ in total.most_common()]
    keys = {
        "objective": lambda failed: f"{failed.objective_s:g} s",
        "model": lambda failed: failed.model or "-",
        "endpoint": lambda failed: failed.endpoint or "-",
        "from second": lambda failed: f"{failed.at_s // WINDOW_S * WINDOW_S:g}",
    }
    parts = [
        f"{report.answered} answered in time, {len(report.failures)} failed, "
        f"{len(report.changes)} placement changes"
    ]
    for title, key in keys.items():
        counts: dict[str, Counter[str]] = {}
        for failed in report.failures:
            counts.setdefault(key(failed), Counter())[failed.reason.value] += 1
        parts.append(_table(title, counts, columns))
    return "\n\n".join(parts)


def plot(report: FailureReport, path: str) -> None:
    """Plot failed requests over time above the placement changes."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (upper, lower) = pyplot.subplots(
        2, 1, sharex=True, figsize=(12, 7), height_ratios=(3, 2)
    )
    reasons = [
        reason for reason, _ in Counter(x.reason for x in report.failures).most_common()
    ]
    times = [
        [x.at_s for x in report.failures if x.reason is reason] for reason in reasons
    ]
    last_s = max((x.at_s for x in report.failures), default=0.0)
    bins = [WINDOW_S * n for n in range(int(last_s / WINDOW_S) + 2)]
    if reasons:
        names = [reason.value for reason in reasons]
        upper.hist(times, bins=bins, stacked=True, label=names)
        upper.legend(fontsize=7)
    upper.set_ylabel(f"requests failed in {WINDOW_S:g} s")
    models = [change for change in report.changes if "/" not in change[2]]
    endpoints = sorted({endpoint for _, endpoint, _, _ in models})
    for at_s, endpoint, artifact, reason in models:
        row = endpoints.index(endpoint)
        lower.plot([at_s], [row], "|", color="black", markersize=12)
        lower.annotate(f"{artifact[:6]} {reason}", (at_s, row), fontsize=5, rotation=30)
    lower.set_yticks(range(len(endpoints)), endpoints, fontsize=6)
    lower.set_xlabel("seconds from the first request")
    figure.tight_layout()
    figure.savefig(path, dpi=120)


def run_account(paths: list[str], plot_path: str) -> None:
    """Print the report of some log files, and optionally write its plot."""
    lines: list[str] = []
    for path in paths:
        lines += Path(path).read_text(errors="replace").splitlines()
    report = build_report(lines)
    print(render(report))
    if plot_path:
        plot(report, plot_path)
