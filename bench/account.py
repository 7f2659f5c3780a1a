"""Where requests were lost, from the logs of entry daemons."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Iterator
from datetime import datetime
from enum import Enum
from pathlib import Path

import msgspec

WINDOW_S = 2.0
"""Lengths of the windows of the table over time."""
MOST_ROWS = 12
FIRST_FAILURE = 400
FIRST_ERROR = 500
EMPTY = ("", "None", '""')
_FIELD = re.compile(r'(\w+)=("[^"]*"|\S*)')


class Loss(Enum):
    """Why a request was not answered in time."""

    FIRST_LATE = "first event late at an endpoint"
    WAITED_LATE = "late for waiting for its model"
    PAUSED = "pause too long"
    LATE = "answer late"
    MODEL_ABSENT = "model not loaded"
    MODEL_LOADING = "model being loaded"
    ADAPTER_ABSENT = "adapter not there"
    BUSY = "endpoints busy"
    NOT_TAKEN = "no endpoint took it"
    STOPPING = "daemon stopping or starting"
    LEFT_HELD = "caller left while held"
    LEFT_AT_ENDPOINT = "caller left while at an endpoint"
    CUT = "cut, or without an answer"
    ENDPOINT_ERROR = "endpoint's own error"
    OTHER = "other refusal"


REFUSALS = {
    "the model is not loaded": Loss.MODEL_ABSENT,
    "the model is being loaded": Loss.MODEL_LOADING,
    "the adapter is not loaded": Loss.ADAPTER_ABSENT,
    "the adapter is being loaded": Loss.ADAPTER_ABSENT,
    "endpoints are busy": Loss.BUSY,
    "no endpoint took the request": Loss.NOT_TAKEN,
    "no endpoint is ready": Loss.NOT_TAKEN,
    "this daemon is stopping": Loss.STOPPING,
    "no configuration yet": Loss.STOPPING,
}


class LogLine(msgspec.Struct, frozen=True):
    """One event of a daemon; ``at_s`` is on the wall clock."""

    at_s: float
    daemon: str
    event: str
    fields: dict[str, str]

    def get(self, name: str) -> str:
        """Return a field, empty where there is none."""
        value = self.fields.get(name, "").strip('"')
        return "" if value in EMPTY else value

    def number(self, name: str) -> float | None:
        """Return a field as a number, None where there is none."""
        value = self.get(name)
        return float(value) if value else None


class LostRequest(msgspec.Struct, frozen=True):
    """A request that was not answered in time; ``at_s`` is when it came."""

    at_s: float
    loss: Loss
    objective_s: float
    model: str
    adapter: str
    endpoint: str


class Account(msgspec.Struct):
    """What the logs of a play show, in seconds from its first request."""

    answered: int = 0
    lost: list[LostRequest] = []
    changes: list[tuple[float, str, str, str]] = []
    """When, endpoint, what was loaded, why."""


def parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Read log lines; what stands before ``time=`` on a line is left out."""
    for line in lines:
        start = line.find("time=")
        if start < 0 or " event=" not in line:
            continue
        fields = dict(_FIELD.findall(line[start:]))
        at = datetime.fromisoformat(fields.pop("time"))
        words = line[:start].split()
        daemon = words[-1] if words else fields.get("daemon", "")
        yield LogLine(at.timestamp(), daemon, fields.pop("event"), fields)


def make_account(lines: Iterable[str]) -> Account:
    """Add up what became of the requests."""
    account = Account()
    waited: set[str] = set()
    begin_s: float | None = None
    for line in parse_lines(lines):
        if line.event == "model_waited_for":
            waited.add(line.get("request"))
        elif line.event == "placement_begun":
            what = "/".join(filter(None, (line.get("model"), line.get("adapter"))))
            account.changes.append(
                (line.at_s, line.get("endpoint"), what, line.get("reason"))
            )
        elif line.event == "request" and line.get("route"):
            at_s = line.at_s - (line.number("took_s") or 0.0)
            begin_s = at_s if begin_s is None else min(begin_s, at_s)
            _count(account, line, at_s, waited)
    _shift(account, begin_s or 0.0)
    return account


def _count(account: Account, line: LogLine, at_s: float, waited: set[str]) -> None:
    account.answered += int(line.number("good_left_out") or 0)
    loss = classify(line, is_waited=line.get("request") in waited)
    if loss is None:
        account.answered += 1
        return
    account.lost.append(
        LostRequest(
            at_s,
            loss,
            line.number("objective_s") or 0.0,
            line.get("model"),
            line.get("adapter"),
            line.get("endpoints").rpartition(",")[2],
        )
    )


def _shift(account: Account, begin_s: float) -> None:
    """Count times from the first request."""
    account.lost = [
        msgspec.structs.replace(lost, at_s=lost.at_s - begin_s) for lost in account.lost
    ]
    account.changes = [(at - begin_s, *rest) for at, *rest in account.changes]


def classify(line: LogLine, *, is_waited: bool) -> Loss | None:
    """Return why a request was lost, None for one that was answered in time."""
    outcome = line.get("outcome")
    if outcome == "caller_gone":
        return Loss.LEFT_AT_ENDPOINT if line.get("endpoints") else Loss.LEFT_HELD
    if outcome == "answered":
        return _classify_answer(line, is_waited=is_waited)
    if outcome == "not-run":
        return REFUSALS.get(line.get("reason"), Loss.OTHER)
    return Loss.CUT


def _classify_answer(line: LogLine, *, is_waited: bool) -> Loss | None:
    status = int(line.number("status") or 0)
    if status >= FIRST_ERROR:
        return Loss.ENDPOINT_ERROR
    if status >= FIRST_FAILURE:
        return Loss.OTHER
    objective_s = line.number("objective_s") or 0.0
    first_s = line.number("first_event_s")
    if first_s is None:
        is_late = (line.number("took_s") or 0.0) > objective_s > 0
        return Loss.LATE if is_late else None
    if first_s > objective_s:
        return Loss.WAITED_LATE if is_waited else Loss.FIRST_LATE
    max_pause_s = line.number("max_pause_s") or 0.0
    if (line.number("longest_pause_s") or 0.0) > max_pause_s > 0:
        return Loss.PAUSED
    return None


def _table(title: str, counts: dict[str, Counter[str]], columns: list[str]) -> str:
    """Return a Markdown table, the rows with most losses first."""
    rows = sorted(counts.items(), key=lambda item: -item[1].total())[:MOST_ROWS]
    lines = [f"| {title} | lost | " + " | ".join(columns) + " |"]
    lines.append("| --- " * (len(columns) + 2) + "|")
    for name, by_loss in rows:
        cells = " | ".join(str(by_loss[column]) for column in columns)
        lines.append(f"| {name} | {by_loss.total()} | {cells} |")
    return "\n".join(lines)


def render(account: Account) -> str:
    """Return the account as Markdown."""
    total = Counter(lost.loss.value for lost in account.lost)
    columns = [loss for loss, _ in total.most_common()]
    keys = {
        "objective": lambda lost: f"{lost.objective_s:g} s",
        "model": lambda lost: lost.model or "-",
        "endpoint": lambda lost: lost.endpoint or "-",
        "from second": lambda lost: f"{lost.at_s // WINDOW_S * WINDOW_S:g}",
    }
    parts = [
        f"{account.answered} answered in time, {len(account.lost)} lost, "
        f"{len(account.changes)} changes of placement"
    ]
    for title, key in keys.items():
        counts: dict[str, Counter[str]] = {}
        for lost in account.lost:
            counts.setdefault(key(lost), Counter())[lost.loss.value] += 1
        parts.append(_table(title, counts, columns))
    return "\n\n".join(parts)


def plot(account: Account, path: str) -> None:
    """Write losses over the day, with the changes of placement under them."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (upper, lower) = pyplot.subplots(
        2, 1, sharex=True, figsize=(12, 7), height_ratios=(3, 2)
    )
    losses = [loss for loss, _ in Counter(x.loss for x in account.lost).most_common()]
    times = [[x.at_s for x in account.lost if x.loss is loss] for loss in losses]
    last_s = max((x.at_s for x in account.lost), default=0.0)
    bins = [WINDOW_S * n for n in range(int(last_s / WINDOW_S) + 2)]
    if losses:
        names = [loss.value for loss in losses]
        upper.hist(times, bins=bins, stacked=True, label=names)
        upper.legend(fontsize=7)
    upper.set_ylabel(f"requests lost in {WINDOW_S:g} s")
    models = [change for change in account.changes if "/" not in change[2]]
    endpoints = sorted({endpoint for _, endpoint, _, _ in models})
    for at_s, endpoint, what, reason in models:
        row = endpoints.index(endpoint)
        lower.plot([at_s], [row], "|", color="black", markersize=12)
        lower.annotate(f"{what[:6]} {reason}", (at_s, row), fontsize=5, rotation=30)
    lower.set_yticks(range(len(endpoints)), endpoints, fontsize=6)
    lower.set_xlabel("seconds from the first request")
    figure.tight_layout()
    figure.savefig(path, dpi=120)


def run_account(paths: list[str], plot_path: str) -> None:
    """Print the account of some log files, and write its plot."""
    lines: list[str] = []
    for path in paths:
        lines += Path(path).read_text(errors="replace").splitlines()
    account = make_account(lines)
    print(render(account))
    if plot_path:
        plot(account, plot_path)
