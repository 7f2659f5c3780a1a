"""Decisions on streams that callers resume."""

from __future__ import annotations

import pytest

from chutelink.origins.messages import StreamOrigin
from chutelink.relaying.version_gate import Resumption, decide_resumption

V1 = StreamOrigin("q", "llm", "v1")
UNVERIFIED = StreamOrigin("q", "llm", None)


@pytest.mark.parametrize(
    ("origin", "versions", "is_complete", "is_informed", "decision"),
    [
        (V1, {"v1", "v2"}, True, True, Resumption.KNOWN),
        (V1, {"v2"}, True, True, Resumption.KNOWN),
        (V1, {"v1"}, True, False, Resumption.UNINFORMED),
        (None, {"v1"}, True, True, Resumption.SINGLE),
        (None, set(), True, True, Resumption.SINGLE),
        (None, {"v1"}, True, False, Resumption.UNINFORMED),
        (None, {"v1", "v2"}, True, True, Resumption.UNKNOWN),
        (None, {"v1", None}, True, True, Resumption.UNKNOWN),
        (V1, {"v1"}, False, True, Resumption.KNOWN),
        (None, {"v1"}, False, True, Resumption.UNKNOWN),
        (UNVERIFIED, {"v1", "v2"}, True, True, Resumption.UNKNOWN),
        (UNVERIFIED, {"v1"}, True, True, Resumption.SINGLE),
    ],
)
def test_resumption_needs_a_version_that_is_known_or_the_only_one(
    origin, versions, is_complete, is_informed, decision
):
    result = decide_resumption(
        origin, versions, is_complete=is_complete, is_informed=is_informed
    )
    assert result is decision
