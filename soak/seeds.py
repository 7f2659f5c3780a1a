"""Command line of soak tests that run seeds one after the other."""

from __future__ import annotations

import argparse
import shutil
import tempfile
from collections.abc import Callable
from pathlib import Path

import msgspec


class SeedReport(msgspec.Struct, frozen=True):
    """Violations of one run, and a summary of what it did."""

    violations: list[str]
    summary: str = ""


def run_seeds(
    description: str,
    run_seed: Callable[..., SeedReport],
    *,
    default_seconds: float | None = None,
) -> int:
    """Run the seeds named on the command line; return 1 if any of them failed.

    The directory of a seed that fails is kept for its logs.

    Parameters
    ----------
    description : str
        Help of the command.
    run_seed : callable
        Runs a seed with its files in a directory. Its third argument is the length of
        the run in seconds, if there is a default for it.
    default_seconds : float, optional
        Length of a run if the command line states none.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=10)
    if default_seconds is not None:
        parser.add_argument("--seconds", type=float, default=default_seconds)
    args = parser.parse_args()
    lengths = [] if default_seconds is None else [args.seconds]
    failed = 0
    for seed in range(args.first, args.first + args.seeds):
        directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        report = run_seed(seed, directory, *lengths)
        if report.violations:
            print(f"logs in {directory}", flush=True)
        else:
            shutil.rmtree(directory)
        failed += bool(report.violations)
        print(f"seed {seed}: {report.summary}{report.violations or 'ok'}", flush=True)
    return 1 if failed else 0
