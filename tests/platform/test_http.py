"""Address lookups by callers."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from yarl import URL

from chutelink.platform.http import make_directory_handler


@pytest.mark.parametrize(
    ("query", "expected"),
    [
        ("?name=h.example&region=north&zone=a", ("a", "h.example", "north")),
        ("?zone=a", ("a", "", None)),
        ("?name=h&region=", ("", "h", None)),
    ],
)
def test_lookup_passes_the_name_and_the_region(query, expected):
    """Guards against home regions that a lookup does not take into account."""
    asked = []

    def addresses(*arguments):
        asked.append(arguments)
        return ["10.0.0.1:80"]

    directory = SimpleNamespace(addresses=addresses, valid_s=1.0)
    url = URL(f"http://h/api/resolve{query}")
    request = SimpleNamespace(path=url.path, query=url.query)
    response = asyncio.run(make_directory_handler(directory)(request))
    assert response.status == 200
    assert asked == [expected]
