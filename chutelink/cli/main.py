"""Entry point of ``chutelink``, the command line tool for operators."""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
from pathlib import Path

import aiohttp

from .. import __version__
from ..exceptions import ChutelinkError, SettingsError, WriteOutcomeUnknown
from ..ids import ApplyId, ConfigVersion
from ..responses import BoundedConnector
from ..settings import OperatorSettings, load_settings
from ..store import Platform, async_setup_platform
from .apply import Applier, validate
from .customers import async_customers
from .daemons import DaemonClient
from .explain_request import explain_request
from .held import async_held
from .inspect import (
    async_drain,
    async_explain,
    async_history,
    async_plan,
    async_status,
)
from .output import ExitCode, Result, make_failure, print_result

ENV_SETTINGS = "CHUTELINK_SETTINGS"
DEFAULT_SETTINGS = "chutelink.ini"
DEFAULT_WAIT_S = 10.0

EXIT_CODES = """\
exit codes: 0 success; 1 failed, nothing was changed; 2 invalid file, settings or
name; 3 conflict with another operator; 4 outcome unknown, use --resume;
5 not in force everywhere within the time limit"""


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="chutelink",
        description="Declare what is served, where and for whom.",
        epilog=EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--settings",
        type=Path,
        default=Path(os.environ.get(ENV_SETTINGS, DEFAULT_SETTINGS)),
        help=f"INI file with [platform] (default: ${ENV_SETTINGS}, "
        f"else {DEFAULT_SETTINGS})",
    )
    parser.add_argument(
        "--json", action="store_true", help="print machine-readable JSON"
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    add = commands.add_parser
    command = add("validate", help="check a fleet file without contacting the platform")
    command.add_argument("file", type=Path)
    command = add(
        "plan", help="show the changes of a fleet file and the loads they need"
    )
    command.add_argument("file", type=Path)
    _add_apply(add("apply", help="commit a fleet file"))
    add("status", help="show daemons, leases, endpoints and models")
    add("history", help="list the committed versions")
    command = add("drain", help="stop sending new work to an endpoint or VM")
    command.add_argument("name", metavar="ENDPOINT|VM")
    command.add_argument("--undo", action="store_true", help="cancel the drain")
    command = add("explain", help="show where a model is placed and why")
    command.add_argument("name", metavar="MODEL")
    command = add("held", help="list quarantined requests, which crash endpoints")
    command.add_argument("daemon", metavar="HOST:PORT")
    command.add_argument("--free", metavar="FINGERPRINT", help="release a request")
    command = add("customers", help="show quotas, usage and rejections of customers")
    command.add_argument("daemons", metavar="HOST:PORT", nargs="+")
    command = add("explain-request", help="trace a request through collected logs")
    command.add_argument("request", metavar="ID")
    command.add_argument("files", metavar="FILE", type=Path, nargs="+")
    return parser


def _add_apply(command: argparse.ArgumentParser) -> None:
    command.add_argument("file", type=Path, nargs="?")
    command.add_argument(
        "--base", type=int, help="version that the file is based on; 0 if none"
    )
    command.add_argument(
        "--wait", action="store_true", help="wait until it is in force everywhere"
    )
    command.add_argument(
        "--timeout-s", type=float, default=DEFAULT_WAIT_S, help="time limit of --wait"
    )
    command.add_argument(
        "--resume", metavar="APPLY_ID", help="determine the outcome of an apply"
    )


async def _async_apply(
    args: argparse.Namespace, platform: Platform, daemons: DaemonClient
) -> Result:
    applier = Applier(platform, daemons)
    if args.resume and not args.file:
        result = await applier.async_resume(ApplyId(args.resume))
    elif args.file is None or args.base is None:
        return make_failure(
            ExitCode.INVALID, "apply requires FILE and --base, or --resume"
        )
    else:
        apply_id = ApplyId(args.resume) if args.resume else None
        base = ConfigVersion(args.base)
        result = await applier.async_apply(args.file, base, apply_id)
    if not args.wait or result.code is not ExitCode.OK:
        return result
    waited = await applier.async_wait(result.data["version"], args.timeout_s)
    return Result(waited.code, result.lines + waited.lines, result.data | waited.data)


async def _async_run(args: argparse.Namespace) -> Result:
    settings = load_settings(args.settings, OperatorSettings)
    async with aiohttp.ClientSession(connector=BoundedConnector()) as session:
        if args.command == "held":
            return await async_held(session, settings.platform, args.daemon, args.free)
        if args.command == "customers":
            return await async_customers(session, settings.platform, args.daemons)
        platform = async_setup_platform(session, settings.platform)
        daemons = DaemonClient(session, platform, settings.platform)
        if args.command == "apply":
            return await _async_apply(args, platform, daemons)
        if args.command == "plan":
            return await async_plan(platform, args.file)
        if args.command == "status":
            return await async_status(platform, daemons)
        if args.command == "history":
            return await async_history(platform)
        if args.command == "drain":
            return await async_drain(platform, args.name, is_undo=args.undo)
        return await async_explain(platform, args.name)


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    args = make_parser().parse_args(argv)
    if args.command == "validate":
        return print_result(validate(args.file), is_json=args.json)
    if args.command == "explain-request":
        result = explain_request(args.request, args.files)
        return print_result(result, is_json=args.json)
    try:
        result = asyncio.run(_async_run(args))
    except SettingsError as error:
        result = make_failure(ExitCode.INVALID, error.message, "check --settings")
    except WriteOutcomeUnknown as error:
        result = make_failure(ExitCode.UNKNOWN, str(error), "see: chutelink status")
    except ChutelinkError as error:
        advice = "check the platform, then run it again"
        result = make_failure(ExitCode.FAILED, str(error), advice)
    except KeyboardInterrupt:
        result = make_failure(ExitCode.UNKNOWN, "interrupted", "see: chutelink history")
    return print_result(result, is_json=args.json)


if __name__ == "__main__":
    sys.exit(main())
