"""Show quotas, usage and rejections of customers, by daemon and in total."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec

from ..customers.quotas import CustomerUse
from ..customers.web import PATH_CUSTOMERS, CustomerState, CustomerStates
from ..exceptions import PlatformUnavailable
from ..settings import PlatformSection
from .output import ExitCode, Result, format_table, make_failure

TIMEOUT_S = 5.0
HTTP_UNAUTHORIZED = 401
TOTAL_LABEL = "all"


async def async_customers(
    session: aiohttp.ClientSession, settings: PlatformSection, daemons: list[str]
) -> Result:
    """Query daemons for their customers and sum up the results.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session for the requests.
    settings : PlatformSection
        Platform settings with the operators' key.
    daemons : list of str
        Addresses of the daemons' operator interfaces, HOST:PORT.

    Raises
    ------
    PlatformUnavailable
        A daemon did not answer.
    """
    requests = [_async_query(session, settings, daemon) for daemon in daemons]
    found = [states for states in await asyncio.gather(*requests) if states is not None]
    if len(found) < len(daemons):
        return make_failure(
            ExitCode.INVALID, "a daemon refuses the key", "see [platform]"
        )
    return _format_states(found)


async def _async_query(
    session: aiohttp.ClientSession, settings: PlatformSection, daemon: str
) -> CustomerStates | None:
    """Return a daemon's customers, or None if it rejects the key."""
    try:
        async with session.get(
            f"http://{daemon}{PATH_CUSTOMERS}",
            headers={"Authorization": f"Bearer {settings.key}"},
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
        ) as response:
            if response.status == HTTP_UNAUTHORIZED:
                return None
            response.raise_for_status()
            return msgspec.json.decode(await response.read(), type=CustomerStates)
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        step = "cli.customers"
        raise PlatformUnavailable(str(error), step=step, peer=daemon) from error


def _format_states(found: list[CustomerStates]) -> Result:
    rows = [("CUSTOMER", "DAEMON", "QUOTA/S", "SHARE", "LEVEL", "USED", "REFUSED")]
    by_name: dict[str, list[tuple[str, CustomerState]]] = {}
    for states in found:
        for state in states.customers:
            by_name.setdefault(state.name, []).append((states.daemon, state))
    for name, states in sorted(by_name.items()):
        rows += [_row(name, daemon, state, state.use) for daemon, state in states]
        rows.append(_total_row(name, [state for _, state in states]))
    lines = format_table(rows) if by_name else ["no customer has a quota"]
    return Result(ExitCode.OK, lines, {"daemons": msgspec.to_builtins(found)})


def _row(
    name: str, daemon: str, state: CustomerState, use: CustomerUse
) -> tuple[str, ...]:
    return (
        name,
        daemon,
        f"{state.rate_per_s:.0f} {state.unit.value}",
        f"{state.share:.3f}",
        f"{state.level:.0f}",
        f"{use.admitted} ({use.admitted_amount:.0f})",
        f"{use.refused} ({use.refused_amount:.0f})",
    )


def _total_row(name: str, states: list[CustomerState]) -> tuple[str, ...]:
    use = CustomerUse(
        sum(state.use.admitted for state in states),
        sum(state.use.admitted_amount for state in states),
        sum(state.use.refused for state in states),
        sum(state.use.refused_amount for state in states),
    )
    total = msgspec.structs.replace(
        states[0],
        share=sum(state.share for state in states),
        level=sum(state.level for state in states),
    )
    return _row(name, TOTAL_LABEL, total, use)
