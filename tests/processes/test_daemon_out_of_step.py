"""Streams of a new software version, resumed at a daemon that was out of step."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Iterable, Iterator
from enum import Enum

import pytest

from .releases import (
    Release,
    async_start_releases,
    check_releases,
    share_complete,
)
from .resuming_caller import StreamOutcome
from .severable_deployment import (
    HOLDER,
    READER,
    SeverableDeployment,
    async_severable_deployment,
)

OUT_OF_STEP = 2
"""The daemon that is cut off or stands still."""
OTHERS = [HOLDER, READER]
DAEMONS = [*OTHERS, OUT_OF_STEP]
HISTORY_S = 3.0
"""Time after a start in which daemons learn which versions served before."""
CUT_S = 2.0
"""Longer than peers wait for a silent one, and than registrations stay fresh."""
DRAIN_S = 1.0
PAUSE_S = 0.2
STREAMS = 6
MAX_REFUSAL_S = 1.5
"""Half of the deadline of the callers."""
RECOVERY_TIMEOUT_S = 10.0


class Cut(Enum):
    """What a daemon is cut off from: peers, and whether the store."""

    OTHERS = ((HOLDER, READER), False)
    STORE = ((), True)
    BOTH = ((HOLDER, READER), True)
    ALL_BUT_PLACER = ((READER,), True)

    def apply(self, deployment: SeverableDeployment) -> None:
        """Cut the daemon off."""
        peers, store = self.value
        deployment.cut(OUT_OF_STEP, peers, store=store)


class Fleet:
    """Daemons of one deployment, which serve a new service for each release.

    Parameters
    ----------
    runner : asyncio.Runner
        Runs the deployment.
    deployment : SeverableDeployment
        The daemons and the platform.
    """

    _numbers = itertools.count()

    def __init__(self, runner: asyncio.Runner, deployment: SeverableDeployment) -> None:
        self._runner = runner
        self.deployment = deployment
        self.process = deployment.processes[f"vm-{OUT_OF_STEP}"]

    def run(
        self, async_test: Callable[[list[Release]], Awaitable[None]], releases: int = 2
    ) -> None:
        """Run a test with releases of 1, 2, ... new endpoints, then check them."""
        self._runner.run(self._async_run(async_test, releases))

    async def _async_run(
        self, async_test: Callable[[list[Release]], Awaitable[None]], count: int
    ) -> None:
        releases = [
            Release(self.deployment, f"llm{next(self._numbers)}", number + 1)
            for number in range(count)
        ]
        await self.deployment.async_until_linked()
        await async_start_releases(self.deployment, releases, DAEMONS)
        try:
            await async_test(releases)
        finally:
            self.process.resume()
            self.heal()
        check_releases(releases)

    def heal(self, *, loses_held: bool = False) -> None:
        """Connect the daemon to all others and to the store again."""
        self.deployment.heal(OUT_OF_STEP, OTHERS, store=True, loses_held=loses_held)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory) -> Iterator[Fleet]:
    """Daemons that know all versions that served so far."""
    directory = tmp_path_factory.mktemp("fleet")
    with asyncio.Runner() as runner:
        context = async_severable_deployment(directory, [], len(DAEMONS))
        deployment = runner.run(context.__aenter__())
        try:
            runner.run(asyncio.sleep(HISTORY_S))
            yield Fleet(runner, deployment)
        finally:
            runner.run(context.__aexit__(None, None, None))


async def async_each(calls: Iterable[Awaitable]) -> list:
    return await asyncio.gather(*calls)


async def async_begin(releases: list[Release], label: str) -> list[StreamOutcome]:
    """Return streams that the new versions have begun through the other daemons."""
    calls = [release.async_begin(label, STREAMS, OTHERS) for release in releases]
    return [stream for streams in await async_each(calls) for stream in streams]


async def async_resume(releases: list[Release], streams: list[StreamOutcome]) -> None:
    await async_each(
        release.async_resume([s for s in release.broken if s in streams], OUT_OF_STEP)
        for release in releases
    )


async def async_resume_all(releases: list[Release]) -> None:
    await async_each(r.async_resume(r.all_broken, OUT_OF_STEP) for r in releases)


async def async_resume_through_cut(
    fleet: Fleet,
    releases: list[Release],
    cut: Cut,
    *,
    is_taken_back: bool = False,
    loses_held: bool = False,
) -> None:
    """Cut the daemon off while endpoints join, and resume their streams there."""
    cut.apply(fleet.deployment)
    await async_each(release.async_join() for release in releases)
    await async_resume(releases, await async_begin(releases, "early"))
    late = await async_begin(releases, "late")
    healed = await async_begin(releases, "healed")
    taken_back = [r.async_take_back(DRAIN_S) for r in releases if is_taken_back]
    await async_each([async_send(releases), *taken_back])
    await async_resume(releases, late)
    fleet.heal(loses_held=loses_held)
    await async_resume(releases, healed)


async def async_send(releases: list[Release]) -> None:
    """Send new streams through the daemon for the time of a cut."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + CUT_S
    while loop.time() < end_s:
        await async_each(release.async_send(OUT_OF_STEP) for release in releases)
        await asyncio.sleep(PAUSE_S)


async def async_recover(parts: list[list[StreamOutcome]], releases) -> None:
    """Resume all streams again until half of each part of them are complete."""
    async with asyncio.timeout(RECOVERY_TIMEOUT_S):
        while any(share_complete(streams) < 0.5 for streams in parts):
            await async_resume_all(releases)
            await asyncio.sleep(PAUSE_S)
    await async_resume_all(releases)


def check_refused_at_once(releases: list[Release]) -> None:
    taken_s = [t for r in releases for s in r.all_broken for t in s.refused_after_s]
    assert max(taken_s, default=0.0) < MAX_REFUSAL_S


cuts = pytest.mark.parametrize("cut", list(Cut), ids=lambda cut: cut.name.lower())


@cuts
@pytest.mark.parametrize("loses_held", [False, True], ids=["held", "lost"])
def test_stream_of_joining_version_is_not_mixed_at_daemon_cut_off(
    fleet, cut, loses_held
):
    async def async_test(releases):
        await async_resume_through_cut(fleet, releases, cut, loses_held=loses_held)
        parts = [s for r in releases for s in (r.broken, r.broken_old)]
        await async_recover(parts, releases)
        check_refused_at_once(releases)

    fleet.run(async_test)


@cuts
def test_stream_of_version_taken_back_is_not_mixed_at_daemon_cut_off(fleet, cut):
    async def async_test(releases):
        await async_resume_through_cut(
            fleet, releases, cut, is_taken_back=True, loses_held=True
        )
        await async_recover([r.broken_old for r in releases], releases)
        check_refused_at_once(releases)

    fleet.run(async_test)


async def async_resume_around_freeze(
    fleet: Fleet, releases: list[Release], freeze_s: float, *, loses_held: bool
) -> float:
    """Stop the daemon for a while, and resume streams sent before and after its end.

    Returns
    -------
    float
        How long after its end, in seconds, the last of the streams was decided.
    """
    loop = asyncio.get_running_loop()
    if loses_held:
        Cut.BOTH.apply(fleet.deployment)
    fleet.process.freeze()
    end_s = loop.time() + freeze_s
    await async_each(release.async_join() for release in releases)
    before = await async_begin(releases, "before")
    after = await async_begin(releases, "after")
    await releases[-1].async_take_back(PAUSE_S)
    resumed = asyncio.ensure_future(async_resume(releases, before))
    await asyncio.sleep(max(PAUSE_S, end_s - loop.time()))
    fleet.heal(loses_held=loses_held)
    fleet.process.resume()
    end_s = loop.time()
    await async_resume(releases, after)
    await resumed
    return loop.time() - end_s


@pytest.mark.parametrize(
    ("freeze_s", "loses_held"),
    [(0.6, False), (1.2, False), (3.0, False), (6.0, False), (0.6, True), (3.0, True)],
    ids=["0.6", "1.2", "3", "6", "0.6-lost", "3-lost"],
)
def test_stream_is_not_mixed_at_daemon_that_stood_still(fleet, freeze_s, loses_held):
    async def async_test(releases):
        joined, _ = releases
        decided_s = await async_resume_around_freeze(
            fleet, releases, freeze_s, loses_held=loses_held
        )
        assert decided_s < MAX_REFUSAL_S
        await async_each(release.async_send(OUT_OF_STEP) for release in releases)
        await async_recover([joined.broken, joined.broken_old], releases)

    fleet.run(async_test)
