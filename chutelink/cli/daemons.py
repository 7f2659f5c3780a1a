"""Query the status of all daemons."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec

from ..const import PREFIX_DAEMON
from ..daemon import PATH_STATUS, DaemonRow, DaemonStatus
from ..settings import PlatformSection
from ..store import Platform, decode_value
from ..tables.members import Member, MemberState

STATUS_TIMEOUT_S = 1.0
MAX_CONCURRENT = 64


class Survey(msgspec.Struct, frozen=True):
    """Statuses of the daemons that answered, and names of those that did not.

    ``silent`` daemons should have answered; ``gone`` ones are known to others as down
    or left.
    """

    statuses: list[DaemonStatus]
    silent: list[str]
    gone: list[str]


class DaemonClient:
    """Finds daemons by their rows and queries each for its status."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        platform: Platform,
        settings: PlatformSection,
    ) -> None:
        self._session = session
        self._platform = platform
        self._headers = {"Authorization": f"Bearer {settings.key}"}
        self._slots = asyncio.Semaphore(MAX_CONCURRENT)

    async def async_survey(self) -> Survey:
        """Query every daemon that has a row."""
        page = await self._platform.table.async_read(PREFIX_DAEMON)
        rows = [decode_value(row, DaemonRow) for row in page.rows]
        members = [row.member for row in rows if row is not None]
        answers = await asyncio.gather(*(self._async_query(m) for m in members))
        statuses = [answer for answer in answers if answer is not None]
        departed = _find_departed(statuses)
        missing = [m.id for m, a in zip(members, answers, strict=True) if a is None]
        return Survey(
            statuses=sorted(statuses, key=lambda status: status.daemon),
            silent=sorted(name for name in missing if name not in departed),
            gone=sorted(name for name in missing if name in departed),
        )

    async def _async_query(self, member: Member) -> DaemonStatus | None:
        timeout = aiohttp.ClientTimeout(total=STATUS_TIMEOUT_S)
        try:
            async with (
                self._slots,
                self._session.get(
                    member.url + PATH_STATUS, headers=self._headers, timeout=timeout
                ) as response,
            ):
                response.raise_for_status()
                content = await response.read()
                return msgspec.json.decode(content, type=DaemonStatus)
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
            return None


def _find_departed(statuses: list[DaemonStatus]) -> set[str]:
    """Return the daemons that any other daemon regards as down or left."""
    gone = (MemberState.DOWN, MemberState.LEFT)
    return {
        member.id
        for status in statuses
        for member in status.members
        if member.state in gone
    }
