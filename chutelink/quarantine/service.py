"""Quarantine of requests that terminate the endpoints that run them.

An endpoint termination is counted for each request that was running on the endpoint,
by request content and endpoint process, across all daemons. A request with too many of
them is refused; one successful run clears it.

It is also counted for the parts of a request's prompt that other requests may share,
except for those that endpoints are known to answer on. Requests with a part that has
too many terminations, during different requests, are refused.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Collection, Iterable

import msgspec

from ..core import Application
from ..ids import EndpointId, Fingerprint, Incarnation
from .const import (
    ENDING_BATCH_DELAY_S,
    FIRST_HOLD_S,
    MAX_ABOUT_CHARS,
    MAX_TRIALS,
    MIN_RETRY_AFTER_S,
    SOUND_REPLY_SPREAD_S,
)
from .endinglog import EndingLog
from .fingerprint import RequestContent, make_fingerprint, make_part_fingerprint
from .messages import (
    ClearedMessage,
    EndedRun,
    EndingsMessage,
    QuarantineMessage,
    SoundPartsMessage,
)
from .model import BrokenRun, EndingCount, Evidence, Hold, Verdict
from .policy import EndingCountPolicy, QuarantinePolicy
from .probe import ConnectProbe, EndingProbe
from .sound_parts import SoundParts
from .table import SuspectTable
from .verifier import EndingVerifier


def _is_never_pending(fingerprint: Fingerprint) -> bool:
    return False


async def _async_skip_removal(fingerprint: Fingerprint) -> bool:
    """Report the removal as done: without a store, nothing was stored."""
    return True


async def _async_deny_trial(fingerprint: Fingerprint) -> bool:
    """Deny the trial: without the store, two daemons might run it at once."""
    return False


def _sanitize_text(text: str) -> str:
    """Return text that can be encoded and stored, whatever bytes a caller sent."""
    return text.encode("ascii", "backslashreplace").decode()[:MAX_ABOUT_CHARS]


OWN_RUN = "own_run"
"""Source of terminations that this daemon has observed itself."""


class Quarantine:
    """Decides whether each request may run, and tracks the outcomes of runs.

    Parameters
    ----------
    core : Application
        The owning application.
    probe : EndingProbe, optional
        Distinguishes a terminated endpoint from a broken connection.
    policy : QuarantinePolicy, optional
        Decides when requests are held and for how long.
    unix_clock : callable, default=time.time
        Unix time in seconds, for holds that survive daemon restarts.

    Attributes
    ----------
    send : callable
        Sends a message to all other daemons.
    on_held, on_cleared : callable
        Called when this daemon itself holds or clears a request, to update the store.
    on_ending : callable
        Called with a request during which this daemon has detected a termination.
    on_cleared_elsewhere : callable
        Called when another daemon reports that it has cleared a request.
    is_removal_pending : callable
        Returns whether the row of a cleared request is still to be removed.
    async_store_removal : callable
        Removes the row of a cleared request; returns whether it is removed for certain.
    async_claim_trial : callable
        Returns whether this daemon may run the trial of an expired hold.
    """

    def __init__(
        self,
        core: Application,
        probe: EndingProbe | None = None,
        policy: QuarantinePolicy | None = None,
        unix_clock: Callable[[], float] = time.time,
    ) -> None:
        self._core = core
        self._verifier = EndingVerifier(core, probe or ConnectProbe(), self.note_ended)
        self._endings = EndingLog()
        self._unsent: list[EndedRun] = []
        self._sound = SoundParts()
        self._sound_replies: dict[Fingerprint, asyncio.TimerHandle] = {}
        self.policy = policy or EndingCountPolicy()
        self.unix_clock = unix_clock
        self.table = SuspectTable(self.policy)
        self.send: Callable[[QuarantineMessage], None] = lambda message: None
        self.on_held: Callable[[Fingerprint], None] = lambda fingerprint: None
        self.on_cleared: Callable[[Fingerprint], None] = lambda fingerprint: None
        self.on_ending: Callable[[Fingerprint], None] = lambda fingerprint: None
        self.on_cleared_elsewhere: Callable[[Fingerprint], None] = lambda fingerprint: (
            None
        )
        self.is_removal_pending: Callable[[Fingerprint], bool] = _is_never_pending
        self.async_store_removal: Callable[[Fingerprint], Awaitable[bool]] = (
            _async_skip_removal
        )
        self.async_claim_trial: Callable[[Fingerprint], Awaitable[bool]] = (
            _async_deny_trial
        )

    def fingerprint(self, content: RequestContent) -> Fingerprint:
        """Return the fingerprint that a request shares with its repetitions."""
        return make_fingerprint(self._core.daemon.peer_key, content)

    def part_fingerprints(self, parts: Iterable[str]) -> tuple[Fingerprint, ...]:
        """Return the fingerprints of prompt parts, given by their ids, without repeats.

        A part has the same fingerprint whatever model and position it is sent to.
        """
        key = self._core.daemon.peer_key
        return tuple(dict.fromkeys(make_part_fingerprint(key, p) for p in parts))

    def verdict(self, fingerprint: Fingerprint) -> Verdict:
        """Return whether a request may run."""
        return self.table.verdict(fingerprint, self.unix_clock())

    def binding(self, keys: Collection[Fingerprint]) -> list[Fingerprint]:
        """Return those of a request's keys that are held or due for a trial."""
        return self.table.binding(keys, self.unix_clock())

    def back_in_s(self, fingerprint: Fingerprint) -> float:
        """Return after how many seconds a caller should retry a held request."""
        row = self.table.get(fingerprint)
        if row is None or row.hold is None:
            return MIN_RETRY_AFTER_S
        left_s = row.hold.until_unix_s - self.unix_clock()
        # After the last trial only operators release it, at an unknown time.
        return max(
            FIRST_HOLD_S if row.hold.trials >= MAX_TRIALS else MIN_RETRY_AFTER_S, left_s
        )

    async def async_note_broken(self, run: BrokenRun) -> None:
        """Handle a broken run; return once its endpoint has been probed."""
        await self._verifier.async_check(run)

    def note_leaving(self, incarnation: Incarnation) -> None:
        """Handle an endpoint's announcement that it shuts down."""
        self._verifier.note_leaving(incarnation)

    def note_restarted(self, incarnation: Incarnation) -> None:
        """Handle the registration of a new process of an endpoint."""
        self._verifier.note_restarted(incarnation)

    def note_registration_lapsed(self, incarnation: Incarnation) -> None:
        """Handle a lapsed registration of a ready endpoint."""
        self._verifier.note_registration_lapsed(incarnation)

    def forget_endpoint(self, endpoint: EndpointId) -> None:
        """Remove the termination history of a removed endpoint."""
        self._endings.forget(endpoint)

    def note_success(self, fingerprint: Fingerprint) -> None:
        """Clear a request that ran successfully, since it doesn't end endpoints."""
        self.release(fingerprint, "ran_well")

    def note_sound(self, parts: Iterable[Fingerprint]) -> None:
        """Record prompt parts that an endpoint answers on."""
        for part in parts:
            self._sound.add(part)
            if self.clear(part, "ran_well"):
                self.on_cleared(part)
                self.send(SoundPartsMessage([part]))

    def apply_sound_parts(self, message: SoundPartsMessage) -> None:
        """Apply another daemon's report of sound prompt parts."""
        for part in message.parts:
            reply = self._sound_replies.pop(part, None)
            if reply is not None:
                reply.cancel()
            self._sound.add(part)
            self.apply_cleared(part)

    def apply_cleared(self, fingerprint: Fingerprint) -> None:
        """Apply another daemon's report that it has cleared a request or part."""
        self.clear(fingerprint, "told")
        self.on_cleared_elsewhere(fingerprint)

    def release(self, fingerprint: Fingerprint, reason: str) -> bool:
        """Clear a request at all daemons; return whether it was known."""
        if not self.clear(fingerprint, reason):
            return False
        self.on_cleared(fingerprint)
        self.send(ClearedMessage(fingerprint))
        return True

    def clear(self, fingerprint: Fingerprint, reason: str) -> bool:
        """Clear a request at this daemon; return whether it was known."""
        row = self.table.get(fingerprint)
        if row is None:
            return False
        self.table.clear(fingerprint)
        self._core.events.info(
            "suspect_cleared",
            fingerprint=fingerprint,
            reason=reason,
            endings=len(row.endings),
            was_held=row.hold is not None,
        )
        self._update_held_metric()
        return True

    def apply_stored_hold(self, fingerprint: Fingerprint, hold: Hold) -> None:
        """Apply a hold that was read from the store."""
        if fingerprint in self._sound:
            # Written by a daemon that had not learned that the part is sound.
            self.on_cleared(fingerprint)
            return
        if self.table.put_hold(fingerprint, hold, self._core.clock()):
            self._log_hold(fingerprint, hold, "store")

    def apply_stored_count(self, fingerprint: Fingerprint, count: EndingCount) -> None:
        """Apply the terminations during a request that were read from the store."""
        for ending in count.endings:
            run = EndedRun(fingerprint, count.about, ending)
            self._add_to_table(fingerprint, run, "store")

    def apply_endings(self, message: EndingsMessage, source: str) -> None:
        """Apply another daemon's report of runs during which endpoints terminated."""
        now_s = self._core.clock()
        for run in message.runs:
            ending = self._endings.resolve(run.ending, now_s - run.noticed_ago_s, now_s)
            self._add_ending(msgspec.structs.replace(run, ending=ending), source)
        for part in {part for run in message.runs for part in run.parts}:
            if part in self._sound and part not in self._sound_replies:
                self._schedule_sound_reply(part)

    def _schedule_sound_reply(self, part: Fingerprint) -> None:
        """Tell the other daemons that a part is sound, unless one of them does."""
        delay_s = self._core.rng.uniform(0.0, SOUND_REPLY_SPREAD_S)
        self._sound_replies[part] = asyncio.get_running_loop().call_later(
            delay_s, self._send_sound_reply, part
        )

    def _send_sound_reply(self, part: Fingerprint) -> None:
        del self._sound_replies[part]
        self.send(SoundPartsMessage([part]))

    def note_ended(self, run: BrokenRun, evidence: Evidence, broken_s: float) -> None:
        """Record that an endpoint is confirmed to have terminated during a run.

        ``broken_s`` is when the run broke, on this daemon's clock.
        """
        ending = self._endings.identify(run, broken_s)
        self._core.metrics.endings.inc({"evidence": evidence.value})
        self._core.events.record(
            "ended_under",
            fingerprint=run.fingerprint,
            endpoint=run.endpoint,
            ending=ending.label,
            evidence=evidence.value,
            parts=",".join(run.parts),
        )
        about = _sanitize_text(run.about)
        broken_ago_s = max(0.0, self._core.clock() - broken_s)
        ended = EndedRun(run.fingerprint, about, ending, broken_ago_s, run.parts)
        for fingerprint in self._add_ending(ended, OWN_RUN):
            self.on_held(fingerprint)
        self.on_ending(run.fingerprint)
        if not self._unsent:
            asyncio.get_running_loop().call_later(
                ENDING_BATCH_DELAY_S, self._send_endings
            )
        self._unsent.append(ended)

    def _send_endings(self) -> None:
        # Parts may have turned out to be sound since their runs were recorded.
        runs = [self._without_sound_parts(run) for run in self._unsent]
        self._unsent = []
        self.send(EndingsMessage(runs))

    def _without_sound_parts(self, run: EndedRun) -> EndedRun:
        parts = tuple(part for part in run.parts if part not in self._sound)
        return msgspec.structs.replace(run, parts=parts)

    def _add_ending(self, run: EndedRun, source: str) -> list[Fingerprint]:
        """Count a termination, and return what is held from now on."""
        held = []
        if self._add_to_table(run.fingerprint, run, source):
            held.append(run.fingerprint)
        return held + self._add_part_endings(run, source)

    def _add_part_endings(self, run: EndedRun, source: str) -> list[Fingerprint]:
        """Count a termination for the parts of a prompt, unless its cause is certain.

        Returns the parts whose holds are new or changed.
        """
        suspects = [part for part in run.parts if part not in self._sound]
        tested = self.table.find_tested(suspects)
        certain = [part for part in suspects if self.table.is_certain(part)]
        held = [
            part
            for part in certain or suspects
            if self._add_to_table(part, run, source, suspects)
        ]
        is_conclusive = len(suspects) == 1
        if tested and self.table.note_test(tested, is_conclusive=is_conclusive):
            held.append(tested)
        for part in held:
            if self.table.is_certain(part):
                self._discharge(part, source)
        return held

    def _discharge(self, part: Fingerprint, source: str) -> None:
        """Clear what is suspected only of the terminations that a part has caused."""
        for fingerprint in self.table.discharge(part):
            if source == OWN_RUN:
                self.release(fingerprint, "other_cause")
            else:
                self.clear(fingerprint, "other_cause")

    def _add_to_table(
        self,
        fingerprint: Fingerprint,
        run: EndedRun,
        source: str,
        parts: Collection[Fingerprint] = (),
    ) -> bool:
        """Count a termination; ``parts`` are those of the run that may have caused it.

        Returns whether the fingerprint is held from now on.
        """
        is_part = fingerprint != run.fingerprint
        is_held = self.table.add_ending(
            fingerprint,
            f"prompt part of {run.about}" if is_part else run.about,
            run.ending,
            self._core.clock(),
            self.unix_clock(),
            run.fingerprint if is_part else None,
            [part for part in parts if part != fingerprint],
        )
        if is_held:
            self._log_hold(fingerprint, self.table.get(fingerprint).hold, source)
        return is_held

    def _log_hold(self, fingerprint: Fingerprint, hold: Hold, source: str) -> None:
        self._core.events.warning(
            "suspect_held",
            fingerprint=fingerprint,
            about=hold.about,
            endings=",".join(ending.label for ending in hold.endings),
            rivals=",".join(hold.rivals),
            trials=hold.trials,
            left_s=hold.until_unix_s - self.unix_clock(),
            source=source,
        )
        self._update_held_metric()

    def _update_held_metric(self) -> None:
        self._core.metrics.held_requests.set({}, self.table.held)
