"""Compares four strategies that enforce a quota across a fleet, under load and faults.

Simulates requests of 16 customers to a fleet of daemons in virtual time. Measures for
each strategy: the largest usage in any window relative to the allowed usage, the share
of tokens refused although they were within the quota (according to one exact bucket
that sees every request), and the messages that a daemon sends.
"""

from __future__ import annotations

import csv
import random
from collections import deque
from pathlib import Path

import msgspec

from chutelink.customers.const import START_S
from chutelink.customers.model import Quota, QuotaUnit

from .quota_strategies import (
    BOUNDS,
    CountingDaemon,
    FixedShares,
    Fleet,
    LentShares,
    QuotaStrategy,
    ToldSums,
)

FLEET_SIZES = (7, 16, 64)
"""Serving daemons of a small fleet, of one failure domain and of a large fleet."""
CUSTOMERS = 16
ZIPF_EXPONENT = 1.2
REQUESTS_PER_S = 250.0
MEAN_TOKENS = 3000.0
SIZE_SIGMA = 1.0
"""Standard deviation of the logarithm of the request sizes, which are lognormal."""
QUOTA_HEADROOM = 1.8
"""Ratio of a customer's quota to its mean usage."""
MIN_RATE_PER_S = 29_000.0
HOT_LOAD_FACTOR = 7.5
DURATION_S = 40.0
HOT_FROM_S, HOT_TO_S = 10.0, 25.0
PARTITION_FROM_S, PARTITION_TO_S = 14.0, 22.0
PARTITIONED_SHARE = 0.35
KILL_AT_S = 17.0
DOWNTIME_S = 0.7
STRATEGIES = (FixedShares, LentShares, ToldSums, CountingDaemon)
SCENARIOS = ("calm", "hot", "hot, cut", "hot, all killed")
"""Steady load, or overload by one customer: alone, with a partition, or a restart.

The names are part of the seeds: renaming a scenario changes its results.
"""


class QuotaOutcome(msgspec.Struct):
    """Result of one strategy in one scenario.

    ``most_share`` is the largest usage in a window divided by the allowed usage, and
    ``refused_share`` the refused share of the tokens that were within the quotas.
    """

    most_share: float
    refused_share: float
    messages_per_s: float


class _UsageTracker:
    """Compares a customer's admitted usage with an exact token bucket of its quota."""

    def __init__(self, quota: Quota) -> None:
        self._quota = quota
        self._exact_tokens = quota.burst
        self._refilled_s = 0.0
        self._window: deque[tuple[float, float]] = deque()
        self._window_total = 0.0
        self.peak = 0.0
        self.within_quota = 0.0
        self.admitted = 0.0

    def record(self, now_s: float, cost: float, *, is_admitted: bool) -> None:
        """Record one request, and whether the exact bucket would have admitted it."""
        gained = (now_s - self._refilled_s) * self._quota.rate_per_s
        self._refilled_s = now_s
        self._exact_tokens = min(self._quota.burst, self._exact_tokens + gained)
        if self._exact_tokens >= cost:
            self._exact_tokens -= cost
            self.within_quota += cost
        if not is_admitted:
            return
        self.admitted += cost
        self._window.append((now_s, cost))
        self._window_total += cost
        while self._window[0][0] < now_s - BOUNDS.window_s:
            self._window_total -= self._window.popleft()[1]
        self.peak = max(self.peak, self._window_total)

    @property
    def refused(self) -> float:
        """Tokens that were within the quota but not admitted, over the whole run."""
        return max(0.0, self.within_quota - self.admitted)


def _cost(rng: random.Random) -> float:
    return MEAN_TOKENS * rng.lognormvariate(-SIZE_SIGMA * SIZE_SIGMA / 2, SIZE_SIGMA)


def run_scenario(
    strategy: type[QuotaStrategy], scenario: str, count: int, seed: int
) -> QuotaOutcome:
    """Simulate one strategy in one scenario."""
    rng = random.Random(f"{scenario}-{count}-{seed}")
    fleet = Fleet(count)
    weights = [1 / (number + 1) ** ZIPF_EXPONENT for number in range(CUSTOMERS)]
    mean_usage = [MEAN_TOKENS * REQUESTS_PER_S * w / sum(weights) for w in weights]
    quotas = [_make_quota(tokens_per_s) for tokens_per_s in mean_usage]
    limiters = [strategy(quota, fleet, random.Random(seed)) for quota in quotas]
    trackers = [_UsageTracker(quota) for quota in quotas]
    hot_customer = 2
    now_s, is_killed = 0.0, False
    while now_s < DURATION_S:
        is_hot = scenario != "calm" and HOT_FROM_S <= now_s < HOT_TO_S
        shares = [
            w * (HOT_LOAD_FACTOR if is_hot and n == hot_customer else 1.0)
            for n, w in enumerate(weights)
        ]
        now_s += rng.expovariate(REQUESTS_PER_S * sum(shares) / sum(weights))
        is_partitioned = (
            "cut" in scenario and PARTITION_FROM_S <= now_s < PARTITION_TO_S
        )
        fleet.partitioned = (
            frozenset(range(int(PARTITIONED_SHARE * count)))
            if is_partitioned
            else frozenset()
        )
        if "killed" in scenario and not is_killed and now_s >= KILL_AT_S:
            is_killed = True
            now_s += max(DOWNTIME_S, START_S)
            for limiter in limiters:
                limiter.restart_all(now_s)
        customer = rng.choices(range(CUSTOMERS), shares)[0]
        daemon = rng.randrange(count)
        cost = _cost(rng)
        is_admitted = limiters[customer].admit(daemon, cost, now_s)
        trackers[customer].record(now_s, cost, is_admitted=is_admitted)
    within_quota = sum(tracker.within_quota for tracker in trackers)
    return QuotaOutcome(
        max(t.peak / BOUNDS.allowed(q) for t, q in zip(trackers, quotas, strict=True)),
        sum(tracker.refused for tracker in trackers) / within_quota,
        fleet.messages / count / DURATION_S,
    )


def _make_quota(mean_usage_per_s: float) -> Quota:
    rate_per_s = max(MIN_RATE_PER_S, QUOTA_HEADROOM * mean_usage_per_s)
    return Quota(QuotaUnit.TOKENS, rate_per_s, rate_per_s)


def run_quotas(*, csv_path: str, plot_path: str) -> None:
    """Print the table, and optionally write it as CSV and as a plot."""
    rows = []
    print(
        f"{'scenario':16}{'daemons':>8}  {'strategy':16}"
        f"{'peak':>8}{'refused':>9}{'messages':>10}"
    )
    for scenario in SCENARIOS:
        for count in FLEET_SIZES:
            for strategy in STRATEGIES:
                outcome = run_scenario(strategy, scenario, count, 1)
                rows.append(
                    (
                        scenario,
                        count,
                        strategy.__name__,
                        *msgspec.structs.astuple(outcome),
                    )
                )
                print(
                    f"{scenario:16}{count:8}  {strategy.__name__:16}"
                    f"{outcome.most_share:8.3f}{outcome.refused_share:9.4f}"
                    f"{outcome.messages_per_s:10.1f}"
                )
    if csv_path:
        with Path(csv_path).open("w", newline="") as file:
            writer = csv.writer(file)
            writer.writerow(("day", "daemons", "way", *QuotaOutcome.__struct_fields__))
            writer.writerows(rows)
    if plot_path:
        _plot(rows, plot_path)


def _plot(rows: list[tuple], path: str) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4))
    for strategy in STRATEGIES:
        strategy_rows = [row for row in rows if row[2] == strategy.__name__]
        labels = [f"{row[0]}, {row[1]}" for row in strategy_rows]
        left.plot(
            labels,
            [row[3] for row in strategy_rows],
            marker="o",
            label=strategy.__name__,
        )
        right.plot(
            labels,
            [row[4] for row in strategy_rows],
            marker="o",
            label=strategy.__name__,
        )
    left.axhline(1.0, color="black", linewidth=0.8)
    left.set_title("largest usage in a window / allowed usage")
    right.set_title("refused share of the tokens within quotas")
    for axes in (left, right):
        axes.tick_params(axis="x", rotation=80)
    left.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)
