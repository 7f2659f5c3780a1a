"""Software versions that the endpoints of a service run or ran recently."""

from __future__ import annotations

from chutelink.origins.const import RETENTION_S
from chutelink.origins.versions import VersionHistory


def test_version_that_left_is_kept_while_its_streams_can_be_resumed():
    history = VersionHistory()
    history.add("llm", "v1")
    history.add("llm", "v2")
    history.remove("llm", "v1")
    assert history.versions("llm", 10.0) == {"v1", "v2"}
    assert history.versions("llm", 10.0 + RETENTION_S) == {"v1", "v2"}
    assert history.versions("llm", 10.1 + RETENTION_S) == {"v2"}


def test_version_is_kept_while_one_of_its_endpoints_is_left():
    history = VersionHistory()
    history.add("llm", "v1")
    history.add("llm", "v1")
    history.remove("llm", "v1")
    history.versions("llm", 0.0)
    assert history.versions("llm", 2 * RETENTION_S) == {"v1"}


def test_unknown_version_counts_until_it_is_known():
    history = VersionHistory()
    history.add("llm", "v1")
    history.add("llm", None)
    assert history.versions("llm", 0.0) == {"v1", None}
    assert not history.is_mixed("llm", 0.0)
    history.add("llm", "v1")
    history.remove("llm", None)
    assert history.versions("llm", 0.0) == {"v1"}


def test_second_version_of_a_service_is_announced_once():
    history = VersionHistory()
    mixed = []
    history.on_mixed = mixed.append
    for version in ("v1", "v1", "v2", "v2"):
        history.add("llm", version)
    history.add("other", "v2")
    assert mixed == ["llm"]
    assert history.is_mixed("llm", 0.0)
    assert not history.is_mixed("other", 0.0)
