"""Entry point of ``chutelink-bench``."""

from __future__ import annotations

import argparse
import sys


def make_parser() -> argparse.ArgumentParser:
    """Return the command-line parser."""
    parser = argparse.ArgumentParser(
        prog="chutelink-bench", description="Load tests and experiments on loopback."
    )
    parser.add_argument("--json", action="store_true", help="output for programs")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    command = commands.add_parser("latency", help="latency that a gateway adds")
    command.add_argument("--duration-s", type=float, default=8.0)
    command = commands.add_parser("policies", help="compare policies with baselines")
    command.add_argument("--seeds", type=int, default=10)
    command.add_argument("--csv", default="", help="write the plotted points")
    command.add_argument("--plot", default="", help="write the plot as PNG")
    commands.add_parser(
        "changes", help="time until a new version is in force everywhere"
    )
    commands.add_parser("plans", help="placement planning time by deployment size")
    commands.add_parser("holds", help="compare thresholds for quarantining a request")
    commands.add_parser("pauses", help="simulate prompt spacing at one engine")
    command = commands.add_parser(
        "quotas", help="compare quota strategies across a fleet"
    )
    command.add_argument("--csv", default="", help="write the table")
    command.add_argument("--plot", default="", help="write the plot as PNG")
    command = commands.add_parser(
        "account", help="report why requests failed, from logs"
    )
    command.add_argument("logs", nargs="+", help="logs of entry daemons")
    command.add_argument("--plot", default="", help="write the plot as PNG")
    command = commands.add_parser("capacity", help="slopes for the capacity page")
    command.add_argument("--csv", default="", help="write the raw points")
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the command given on the command line."""
    args = make_parser().parse_args(argv)
    if args.command == "latency":
        from .latency import run

        run(args.duration_s, is_json=args.json)
    elif args.command == "policies":
        from .policies import run_policies

        run_policies(args.seeds, csv=args.csv, plot=args.plot)
    elif args.command == "changes":
        from .changes import run_changes

        run_changes()
    elif args.command == "plans":
        from .plans import run_plans

        run_plans()
    elif args.command == "holds":
        from .holds import run_holds

        run_holds()
    elif args.command == "pauses":
        from .pauses import run_pauses

        run_pauses()
    elif args.command == "quotas":
        from .quotas import run_quotas

        run_quotas(csv_path=args.csv, plot_path=args.plot)
    elif args.command == "account":
        from .account import run_account

        run_account(args.logs, args.plot)
    else:
        from .capacity import run_capacity

        run_capacity(csv=args.csv)
    return 0


if __name__ == "__main__":
    sys.exit(main())
