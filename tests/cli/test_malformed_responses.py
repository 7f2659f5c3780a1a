"""A store that sends something other than a response to an operator's command."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import pytest

from chutelink.cli.output import ExitCode

from ..malformed_responses import make_malformed
from ..raw_server import async_raw_server

MALFORMED = make_malformed(b"200 OK", b'{"rows": [], "version": 7}')
SETTINGS = "[platform]\nurl = http://{}\nkey = none\ntimeout_s = 1.0\n"


@pytest.mark.parametrize("response", MALFORMED.values(), ids=MALFORMED)
def test_malformed_response_of_the_store_is_no_result(tmp_path, response):
    async def async_run() -> tuple[int, bytes]:
        async with async_raw_server(response) as server:
            path = tmp_path / "operator.ini"
            path.write_text(SETTINGS.format(server.address))
            process = await asyncio.create_subprocess_exec(
                str(Path(sys.executable).parent / "chutelink"),
                *("--settings", str(path), "--json", "history"),
                stdout=asyncio.subprocess.PIPE,
            )
            output, _ = await process.communicate()
            assert server.requests
            return process.returncode, output

    code, output = asyncio.run(async_run())
    assert code not in (ExitCode.OK.value, ExitCode.INVALID.value), output
