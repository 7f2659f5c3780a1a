"""What the request log states about the ends of streams."""

from __future__ import annotations

import asyncio

import pytest

from standins.prepared_endpoint import EndpointFaults

from .relay_harness import async_relay_harness
from .test_stream import expected, headers

FIELDS = ("attempts", "reused_connection", "framing", "end_proof", "events")
RESUMED = ("last_event_id", "resume_after")


@pytest.mark.parametrize(
    ("faults", "stated"),
    [
        (EndpointFaults(), [1, True, "chunks", "framing", 6]),
        (EndpointFaults(cut_after_events=4), [2, False, "chunks", "framing", 6]),
    ],
    ids=["whole", "resumed"],
)
def test_request_log_states_how_a_stream_ended(faults, stated):
    """Guards against early ends whose attempt and framing the log doesn't state."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await harness.async_add("i-1", "llm", {"m0": []})
            async with harness.request("/stream/x", "q0", **headers()) as answer:
                await answer.read()
            lines = []
            harness.core.events.record = lambda event, **fields: (
                lines.append(fields) if event == "request" else None
            )
            endpoint.faults = faults
            sent = headers() | {"Last_Event_Id": "2"}
            async with harness.request("/stream/x", "q1", **sent) as answer:
                assert await answer.read() == expected(3)
            assert [lines[0][field] for field in FIELDS] == stated
            assert [lines[0][field] for field in RESUMED] == [2, 8]

    asyncio.run(async_test())


def test_request_log_states_whether_a_request_was_accepted_while_stopping():
    """Guards against cuts that can't be told from those of earlier requests."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            await harness.async_add("i-1", "llm", {"m0": []})
            left_s = []
            harness.core.events.record = lambda event, **fields: (
                left_s.append(fields["drain_left_s"]) if event == "request" else None
            )
            for name in ("before", "while_stopping"):
                async with harness.request("/stream/x", name, **headers()) as answer:
                    await answer.read()
                harness.http.set_shutdown_deadline(harness.core.clock() + 8.0)
            assert left_s[0] is None
            assert 0 < left_s[1] <= 8.0

    asyncio.run(async_test())
