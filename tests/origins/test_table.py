"""Records of which software version began a stream."""

from __future__ import annotations

from chutelink.origins.const import MAX_ORIGINS, RETENTION_S
from chutelink.origins.messages import StreamOrigin
from chutelink.origins.table import OriginTable


def test_record_is_found_by_attempt_and_service():
    table = OriginTable()
    origin = StreamOrigin("q1", "llm", "v1")
    table.put(origin, 0.0, is_own=True)
    assert table.get("q1", "llm", 1.0) == origin
    assert table.get("q1", "other", 1.0) is None
    assert table.get("q2", "llm", 1.0) is None


def test_record_expires():
    table = OriginTable()
    table.put(StreamOrigin("q1", "llm", "v1"), 0.0, is_own=True)
    assert table.get("q1", "llm", RETENTION_S) is not None
    assert table.get("q1", "llm", RETENTION_S + 0.1) is None
    table.put(StreamOrigin("q2", "llm", "v1"), RETENTION_S + 0.1, is_own=True)
    assert len(table) == 1


def test_number_of_records_is_bounded():
    table = OriginTable()
    for number in range(MAX_ORIGINS + 10):
        table.put(StreamOrigin(f"q{number}", "llm", "v1"), 0.0, is_own=True)
    assert len(table) == MAX_ORIGINS
    assert table.get("q9", "llm", 0.0) is None
    assert table.get("q10", "llm", 0.0) is not None


def test_record_of_an_earlier_endpoint_does_not_replace_a_later_one():
    table = OriginTable()
    table.put(StreamOrigin("q1", "llm", "v2", sends=2), 0.0, is_own=False)
    table.put(StreamOrigin("q1", "llm", "v1", sends=1), 0.1, is_own=False)
    assert table.get("q1", "llm", 0.2).version == "v2"


def test_only_own_records_are_shared():
    table = OriginTable()
    table.put(StreamOrigin("q1", "llm", "v1"), 0.0, is_own=True)
    table.put(StreamOrigin("q2", "llm", "v1"), 0.0, is_own=False)
    table.put(StreamOrigin("q3", "other", "v1"), 0.0, is_own=True)
    assert [origin.request for origin in table.own("llm")] == ["q1"]
