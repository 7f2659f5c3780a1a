"""Compares the shipped policies with baselines on the same seeds."""

from __future__ import annotations

import csv as csv_module
import statistics
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import msgspec

from chutelink.fleet import FleetSpec, parse_fleet
from chutelink.fleet.model import (
    EndpointKind,
    PlacementPolicy,
    QueueingPolicy,
    RoutingPolicy,
)

from .simulation import Outcome, Simulation
from .workload import make_arrivals

EXAMPLES = Path(__file__).parent.parent / "examples"
SIMULATED_S = 420.0
RATES_PER_S = {"opa": 14.0, "kulmaahel": 16.0}
TIGHT_MEMORY_MB = 40_000
"""Half of the examples' memory, so that spare replicas compete for it."""
MOVES_WEIGHTS = (0.0, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0)
MAX_PROCESSES = 6


class Case(msgspec.Struct, frozen=True):
    """One example deployment with one set of policies."""

    deployment: str
    label: str
    options: dict

    def fleet(self) -> FleetSpec:
        """Return the example's fleet with these options and ``TIGHT_MEMORY_MB``."""
        text = (EXAMPLES / f"{self.deployment}.ini").read_text(encoding="utf-8")
        fleet = parse_fleet(text, self.deployment, check_memory=False).unwrap()
        options = msgspec.structs.replace(fleet.options, **self.options)
        endpoints = {
            name: msgspec.structs.replace(spec, memory_mb=TIGHT_MEMORY_MB)
            if spec.kind is EndpointKind.ENGINE
            else spec
            for name, spec in fleet.endpoints.items()
        }
        return msgspec.structs.replace(fleet, options=options, endpoints=endpoints)


def policy_cases(deployment: str) -> list[Case]:
    """Return the shipped policies, each single change of a policy, and the baselines.

    The last two cases use the baseline of every policy at once.
    """
    shipped = Case(deployment, "as shipped", {})
    options = shipped.fleet().options
    cases = [shipped]
    for routing in RoutingPolicy:
        if routing is options.routing:
            continue
        label = f"routing {routing.value}"
        cases.append(Case(deployment, label, {"routing": routing}))
    for queueing in QueueingPolicy:
        if queueing is options.queueing:
            continue
        label = f"queueing {queueing.value}"
        cases.append(Case(deployment, label, {"queueing": queueing}))
    for placement in PlacementPolicy:
        if placement is options.placement:
            continue
        label = f"placement {placement.value}"
        cases.append(Case(deployment, label, {"placement": placement}))
    baseline = {
        "routing": RoutingPolicy.LEAST_OUTSTANDING,
        "queueing": QueueingPolicy.FIFO,
        "placement": PlacementPolicy.GREEDY,
    }
    cases.append(Case(deployment, "all baselines (greedy)", baseline))
    static = {**baseline, "placement": PlacementPolicy.STATIC}
    cases.append(Case(deployment, "all baselines (static)", static))
    return cases


def moves_weight_cases(deployment: str) -> list[Case]:
    """Return the shipped policies with increasing values of ``moves_weight``."""
    return [
        Case(deployment, f"moves_weight {weight:g}", {"moves_weight": weight})
        for weight in MOVES_WEIGHTS
    ]


def run_case(case: Case, seed: int) -> Outcome:
    """Simulate one case with one seed."""
    fleet = case.fleet()
    rate_per_s = RATES_PER_S[case.deployment]
    arrivals = make_arrivals(fleet, seed, SIMULATED_S, rate_per_s)
    return Simulation(fleet, arrivals, seed).run()


def _run(job: tuple[Case, int]) -> Outcome:
    return run_case(*job)


def run_all(cases: list[Case], seeds: Iterable[int]) -> dict[str, list[Outcome]]:
    """Simulate all cases with all seeds, in parallel worker processes."""
    jobs = [(case, seed) for case in cases for seed in seeds]
    with ProcessPoolExecutor(MAX_PROCESSES) as pool:
        outcomes = list(pool.map(_run, jobs, chunksize=2))
    results: dict[str, list[Outcome]] = {}
    for (case, _), outcome in zip(jobs, outcomes, strict=True):
        results.setdefault(f"{case.deployment}: {case.label}", []).append(outcome)
    return results


def _format_mean_and_deviation(values: list[float], digits: int) -> str:
    deviation = statistics.stdev(values) if len(values) > 1 else 0.0
    return f"{statistics.mean(values):.{digits}f} ± {deviation:.{digits}f}"


def to_table(results: dict[str, list[Outcome]]) -> str:
    """Return a Markdown table of means and standard deviations over the seeds."""
    lines = [
        "| case | attainment per accelerator, % | attainment, % | worst class, % "
        "| moves | refused |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for label, outcomes in results.items():
        cells = [
            label,
            _format_mean_and_deviation(
                [o.attainment_per_accelerator for o in outcomes], 3
            ),
            _format_mean_and_deviation([100 * o.attainment for o in outcomes], 1),
            _format_mean_and_deviation([100 * o.worst_class for o in outcomes], 1),
            _format_mean_and_deviation([float(o.moves) for o in outcomes], 0),
            _format_mean_and_deviation([float(o.refused) for o in outcomes], 0),
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _write_csv(path: str, results: dict[str, list[Outcome]]) -> None:
    with open(path, "w", newline="", encoding="utf-8") as file:
        writer = csv_module.writer(file, lineterminator="\n")
        writer.writerow(["case", "seed", "attainment", "worst_class", "moves"])
        for label, outcomes in results.items():
            for seed, outcome in enumerate(outcomes, start=1):
                row = [label, seed, f"{outcome.attainment:.5f}"]
                row += [f"{outcome.worst_class:.5f}", outcome.moves]
                writer.writerow(row)


def _write_plot(path: str, results: dict[str, list[Outcome]]) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for deployment in RATES_PER_S:
        series = {k: v for k, v in results.items() if k.startswith(f"{deployment}:")}
        moves = [statistics.mean(o.moves for o in v) for v in series.values()]
        shares = [
            100 * statistics.mean(o.attainment for o in v) for v in series.values()
        ]
        axes.plot(moves, shares, marker="o", label=deployment)
        for label, x, y in zip(series, moves, shares, strict=True):
            axes.annotate(
                label.split()[-1],
                (x, y),
                textcoords="offset points",
                xytext=(4, 4),
                fontsize=8,
            )
    axes.set_xlabel("moves (loads and unloads)")
    axes.set_ylabel("attainment, %")
    axes.set_title("Attainment against moves, by moves_weight")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def run_policies(seeds: int, *, csv: str, plot: str) -> None:
    """Run the comparison, print its tables and optionally write CSV and plot."""
    seed_numbers = range(1, seeds + 1)
    for deployment in RATES_PER_S:
        print(to_table(run_all(policy_cases(deployment), seed_numbers)))
        print()
    cases = [case for name in RATES_PER_S for case in moves_weight_cases(name)]
    results = run_all(cases, seed_numbers)
    print(to_table(results))
    if csv:
        _write_csv(csv, results)
    if plot:
        _write_plot(plot, results)
