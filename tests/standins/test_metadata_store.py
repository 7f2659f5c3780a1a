"""The stand-in of the store answers as the store's protocol says."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from standins.metadata_store import MAX_KEPT_CHANGES, MetadataStore

HTTP_GONE = 410


def test_changes_that_are_no_longer_kept_are_gone():
    """Guards against tests in which a part of the history counts as all of it."""
    store = MetadataStore()
    for number in range(MAX_KEPT_CHANGES + 1):
        store.put("servers", f"i-{number}", {})
    request = SimpleNamespace(query={"table": "servers", "after": "0"})
    answer = asyncio.run(store.async_feed(request))
    assert answer.status == HTTP_GONE
