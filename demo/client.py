"""Client of the demo: waits until the deployment is ready, and sends requests."""

from __future__ import annotations

import asyncio
import sys

import aiohttp

NET = "127.0.10"
PLATFORM = f"http://{NET}.1:7000"
DAEMONS = [f"http://{NET}.{10 + n}:7100" for n in (1, 2, 3)]
DAEMONS += [f"http://{NET}.{10 + n}:7200" for n in (1, 2)]
HEADERS = {"Authorization": "Bearer inspectors-key"}
WAIT_TIMEOUT_S = 60.0
CONNECTION_ERRORS = (aiohttp.ClientError, TimeoutError, ConnectionError)


async def async_wait_for_status(
    session: aiohttp.ClientSession, url: str, statuses: set
) -> None:
    """Wait until a GET request to a URL returns one of the statuses."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while True:
            try:
                async with session.get(url, headers=HEADERS) as response:
                    if response.status in statuses:
                        return
            except CONNECTION_ERRORS:
                pass
            await asyncio.sleep(0.1)


async def async_wait_for_model(session: aiohttp.ClientSession, model: str) -> None:
    """Wait until a completion request to a model succeeds."""
    body = {"model": model, "messages": [{"role": "user", "content": "ready?"}]}
    url = f"{DAEMONS[0]}/v1/chat/completions"
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while True:
            async with session.post(url, json=body, headers=HEADERS) as response:
                if response.status == 200:
                    return
            await asyncio.sleep(0.2)


async def async_send_requests(session: aiohttp.ClientSession) -> None:
    """Get a gateway's address; send it a completion, a streamed one and a lookup."""
    async with session.get(
        f"{DAEMONS[0]}/v1/addresses", params={"model": "load-notes"}, headers=HEADERS
    ) as response:
        answer = await response.json()
        print("addresses:", answer)
    base = answer["addresses"][0]["url"]
    body = {
        "model": "load-notes",
        "messages": [{"role": "user", "content": "Check bay 4 of the north facade."}],
        "max_tokens": 5,
    }
    url = f"{base}/v1/chat/completions"
    async with session.post(url, json=body, headers=HEADERS) as response:
        answer = await response.json()
        print("completion:", answer["choices"][0]["message"]["content"])
    async with session.post(url, json={**body, "stream": True}, headers=HEADERS) as r:
        async for line in r.content:
            if line.strip():
                print("stream:", line.decode().strip())
    lookup = f"{base}/services/permits/lookup/LAG-2041"
    async with session.get(lookup, headers=HEADERS) as response:
        print("lookup:", await response.json())


async def async_main(command: str, argument: str) -> None:
    """Run a command; any other than the wait commands sends the requests."""
    async with aiohttp.ClientSession() as session:
        if command == "wait-platform":
            await async_wait_for_status(session, f"{PLATFORM}/standin/counts", {200})
        elif command == "wait-daemons":
            for url in DAEMONS:
                await async_wait_for_status(session, f"{url}/healthz", {200})
        elif command == "wait-model":
            await async_wait_for_model(session, argument)
        else:
            await async_send_requests(session)


if __name__ == "__main__":
    asyncio.run(async_main(sys.argv[1], sys.argv[2] if len(sys.argv) > 2 else ""))
