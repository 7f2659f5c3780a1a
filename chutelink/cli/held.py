"""Look at the requests that a fleet keeps away, and free one."""

from __future__ import annotations

import aiohttp
import msgspec

from ..exceptions import PlatformUnavailable
from ..quarantine.web import PATH_HELD, HeldRequest, HeldRequests
from ..settings import PlatformSection
from .output import ExitCode, Result, columns, failed

TIMEOUT_S = 5.0
HTTP_OK = 200
HTTP_DONE = 204
HTTP_UNAUTHORIZED = 401
HTTP_NOT_FOUND = 404


async def async_held(
    session: aiohttp.ClientSession,
    settings: PlatformSection,
    daemon: str,
    free: str | None,
) -> Result:
    """Ask one daemon; each knows what all keep away.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Opens the connection.
    settings : PlatformSection
        Holds the operators' key.
    daemon : str
        The daemon's operators' address, HOST:PORT.
    free : str or None
        A fingerprint to free.

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
        return failed(ExitCode.INVALID, "the daemon refuses the key", "see [platform]")
    if status == HTTP_NOT_FOUND:
        return failed(ExitCode.INVALID, f"nothing is held as {free}", "see: held")
    if status == HTTP_DONE:
        return Result(ExitCode.OK, [f"{free} is free"], {"free": free})
    return _show(msgspec.json.decode(body, type=HeldRequests).held)


def _show(held: list[HeldRequest]) -> Result:
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
    lines = columns(rows) if held else ["nothing is held"]
    return Result(ExitCode.OK, lines, {"held": msgspec.to_builtins(held)})
