"""Command line of soak tests that run seeds one after the other."""

from __future__ import annotations

import argparse
import tempfile
from collections.abc import Callable
from pathlib import Path

import msgspec


class SeedReport(msgspec.Struct, frozen=True):
    """Violations of one run, and a summary of what it did."""

    violations: list[str]
    summary: str = ""


def run_seeds(description: str, run_seed: Callable[[int, Path], SeedReport]) -> int:
    """Run the seeds named on the command line; return 1 if any of them failed."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=10)
    args = parser.parse_args()
    failed = 0
    for seed in range(args.first, args.first + args.seeds):
        with tempfile.TemporaryDirectory() as directory:
            report = run_seed(seed, Path(directory))
        failed += bool(report.violations)
        print(f"seed {seed}: {report.summary}{report.violations or 'ok'}", flush=True)
    return 1 if failed else 0
