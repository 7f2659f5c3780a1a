"""The command held: lists quarantined requests, or releases one."""

from __future__ import annotations

import aiohttp
import msgspec

from ..exceptions import PlatformUnavailable
from ..quarantine.web import PATH_HELD, HeldRequest, HeldRequests
from ..settings import PlatformSection
from .output import ExitCode, Result, format_table, make_failure

TIMEOUT_S = 5.0
HTTP_OK = 200
HTTP_NO_CONTENT = 204
HTTP_UNAUTHORIZED = 401
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503


async def async_held(
    session: aiohttp.ClientSession,
    settings: PlatformSection,
    daemon: str,
    free: str | None,
) -> Result:
    """List or release quarantined requests through one daemon.

    Each daemon knows the quarantined requests of all daemons.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session for the request.
    settings : PlatformSection
        Platform settings with the operators' key.
    daemon : str
        Address of the daemon's operator interface, HOST:PORT.
    free : str or None
        Fingerprint to release; None lists all.

    Raises
    ------
    PlatformUnavailable
        The daemon did not answer.
    """
    method, path = ("GET", PATH_HELD) if free is None else ("DELETE", "")
    path = path or f"{PATH_HELD}/{free}"
    try:
        async with session.request(
            method,
            f"http://{daemon}{path}",
            headers={"Authorization": f"Bearer {settings.key}"},
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
        ) as response:
            status, body = response.status, await response.read()
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise PlatformUnavailable(str(error), step="cli.held", peer=daemon) from error
    if status == HTTP_UNAUTHORIZED:
        return make_failure(
            ExitCode.INVALID, "the daemon refuses the key", "see [platform]"
        )
    if status == HTTP_NOT_FOUND:
        return make_failure(ExitCode.INVALID, f"nothing is held as {free}", "see: held")
    if status == HTTP_UNAVAILABLE:
        return make_failure(
            ExitCode.UNKNOWN,
            f"{free} is free, but daemons that start later may hold it again",
            "repeat the command once the store accepts writes",
        )
    if status == HTTP_NO_CONTENT:
        return Result(ExitCode.OK, [f"{free} is free"], {"free": free})
    if free is not None or status != HTTP_OK:
        raise PlatformUnavailable(f"status {status}", step="cli.held", peer=daemon)
    return _format_held(msgspec.json.decode(body, type=HeldRequests).held)


def _format_held(held: list[HeldRequest]) -> Result:
    rows = [("FINGERPRINT", "LEFT", "TRIALS", "ENDED", "REQUEST")]
    rows += [
        (
            row.fingerprint,
            f"{row.left_s:.0f} s",
            str(row.trials),
            ",".join(row.endings),
            row.about,
        )
        for row in held
    ]
    lines = format_table(rows) if held else ["nothing is held"]
    return Result(ExitCode.OK, lines, {"held": msgspec.to_builtins(held)})
