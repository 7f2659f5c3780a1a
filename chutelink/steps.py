"""Steps of long-running loops, which continue after an unexpected exception."""

from __future__ import annotations

import inspect
import os
import traceback
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

from mode import Service

from .log import EventLog

MAX_ERROR_CHARS = 300
FAILED_STEP_PAUSE_S = 1.0
"""Pause after a failed step, so that a loop does not spin on a lasting fault."""


async def async_run_step(
    service: Service,
    events: EventLog,
    step: str,
    action: Callable[[], Awaitable[None] | None],
) -> None:
    """Run one step of a service's loop; if it fails unexpectedly, log it and pause.

    A task of a service that raises ends the whole daemon.

    Parameters
    ----------
    service : Service
        Service of the loop, whose stop ends the pause.
    events : EventLog
        Log of the daemon.
    step : str
        Name of the step, such as ``"store.poll"``.
    action : callable
        The step; its own errors are handled there.
    """
    try:
        result = action()
        # Some loops run plain functions, others coroutines.
        if inspect.isawaitable(result):
            await result
    except Exception as error:
        _log_failure(events, step, "", error)
        await service.sleep(FAILED_STEP_PAUSE_S)


@contextmanager
def contain_errors(events: EventLog, step: str, peer: str) -> Iterator[None]:
    """Log an unexpected exception of a block that handles one of many entries."""
    try:
        yield
    except Exception as error:
        _log_failure(events, step, peer, error)


def _log_failure(events: EventLog, step: str, peer: str, error: Exception) -> None:
    frame = traceback.extract_tb(error.__traceback__)[-1]
    events.error(
        "unexpected_error",
        step=step,
        peer=peer,
        error=repr(error)[:MAX_ERROR_CHARS],
        at=f"{os.path.basename(frame.filename)}:{frame.lineno}",
    )
