"""Keys and quotas, from the view of callers and endpoints."""

from __future__ import annotations

import asyncio
import json

import pytest

from chutelink.watching.table_state import TableFreshness

from .relay_harness import async_relay_harness

ACME = {"name": "acme", "keys": ["key-1", "key-2"], "priority": 2}
OTHER = {"name": "other", "keys": ["key-3"]}
LIMITED = {
    "name": "limited",
    "keys": ["key-4"],
    "unit": "token_count",
    "plain_tokens": 1000,
    "rate_per_s": 1000,
    "burst": 1000,
}
CUSTOMERS = [ACME, OTHER, LIMITED]


async def async_send(harness, path, request_id="q1", **headers):
    async with harness.request(path, request_id, **headers) as answer:
        return answer.status, answer.headers, await answer.read()


def test_customer_is_forwarded_to_endpoints_without_key():
    async def main():
        async with async_relay_harness() as harness:
            plain = await harness.async_add("p1", "plain")
            harness.configure(tenants=CUSTOMERS)
            status, _, _ = await async_send(
                harness, "/once/x", Authorization="Bearer key-1", X_Tenant="other"
            )
            assert status == 200
            assert plain.received_headers[0]["X-Tenant"] == "acme"
            assert "key-1" not in json.dumps(plain.received_headers)
            assert "Authorization" not in plain.received_headers[0]

    asyncio.run(main())


def test_resumed_stream_names_same_customer():
    async def main():
        async with async_relay_harness() as harness:
            models = {"m0": []}
            first = await harness.async_add("e1", "llm", models)
            second = await harness.async_add("e2", "llm", models)
            first.faults = type(first.faults)(cut_after_events=2)
            harness.configure(tenants=CUSTOMERS)
            sends = [
                async_send(
                    harness,
                    "/stream/x",
                    f"q{number}",
                    Authorization="Bearer key-1",
                    X_Model="m0",
                    X_Token_Count="5,5",
                )
                for number in range(6)
            ]
            await asyncio.gather(*sends)
            received_headers = first.received_headers + second.received_headers
            assert any("Last-Event-ID" in headers for headers in received_headers)
            assert {headers["X-Tenant"] for headers in received_headers} == {"acme"}
            assert not any("Authorization" in headers for headers in received_headers)

    asyncio.run(main())


@pytest.mark.parametrize("key", [None, "Bearer nobodys", "Basic key-1", "Bearer "])
def test_invalid_key_is_refused(key):
    async def main():
        async with async_relay_harness() as harness:
            plain = await harness.async_add("p1", "plain")
            harness.configure(tenants=CUSTOMERS)
            headers = {} if key is None else {"Authorization": key}
            status, answer, body = await async_send(harness, "/once/x", **headers)
            assert status == 401
            assert answer["WWW-Authenticate"] == "Bearer"
            assert b"nobodys" not in body
            assert not plain.runs

    asyncio.run(main())


def test_daemon_with_outdated_configuration_does_not_reject_key():
    """The key may be new: a caller would not retry after a 401."""

    async def main():
        async with async_relay_harness() as harness:
            await harness.async_add("p1", "plain")
            harness.configure(tenants=CUSTOMERS)
            harness.config_knowledge = TableFreshness(1, 9.0)
            status, answer, _ = await async_send(
                harness, "/once/x", Authorization="Bearer new"
            )
            assert status == 503
            assert float(answer["Retry-After"]) > 0
            status, _, _ = await async_send(
                harness, "/once/x", "q2", Authorization="Bearer key-1"
            )
            assert status == 200

    asyncio.run(main())


def test_keys_are_added_removed_and_moved_by_new_versions():
    async def main():
        async with async_relay_harness() as harness:
            plain = await harness.async_add("p1", "plain")
            harness.configure(1, tenants=[ACME, OTHER])
            moved = [ACME | {"keys": ["key-1"]}, OTHER | {"keys": ["key-2", "key-5"]}]
            harness.configure(2, tenants=moved)
            statuses = []
            for number, key in enumerate(["key-1", "key-2", "key-3", "key-5"]):
                bearer = f"Bearer {key}"
                status, _, _ = await async_send(
                    harness, "/once/x", f"q{number}", Authorization=bearer
                )
                statuses.append(status)
            assert statuses == [200, 200, 401, 200]
            forwarded = [headers["X-Tenant"] for headers in plain.received_headers]
            assert forwarded == ["acme", "other", "other"]

    asyncio.run(main())


def test_anonymous_route_needs_no_key():
    async def main():
        async with async_relay_harness() as harness:
            plain = await harness.async_add("p1", "plain")
            harness.configure(tenants=CUSTOMERS, anonymous=["r-once"])
            for number, key in enumerate([{}, {"Authorization": "Bearer nobodys"}]):
                status, _, _ = await async_send(
                    harness, "/once/x", f"q{number}", X_Tenant="acme", **key
                )
                assert status == 200
            assert not any("X-Tenant" in headers for headers in plain.received_headers)
            status, _, _ = await async_send(harness, "/again/x", "q9")
            assert status == 401

    asyncio.run(main())


def test_keys_are_not_forwarded_without_customers_in_configuration():
    async def main():
        async with async_relay_harness() as harness:
            plain = await harness.async_add("p1", "plain")
            harness.configure()
            status, _, _ = await async_send(
                harness, "/once/x", Authorization="Bearer k", X_Tenant="acme"
            )
            assert status == 200
            assert not {"Authorization", "X-Tenant"} & plain.received_headers[0].keys()

    asyncio.run(main())


def test_customer_priority_overrides_route_priority():
    async def main():
        async with async_relay_harness() as harness:
            engine = await harness.async_add("e1", "llm", {"m0": []})
            harness.configure(tenants=CUSTOMERS)
            for number, key in enumerate(["key-1", "key-3"]):
                await async_send(
                    harness,
                    "/stream/x",
                    f"q{number}",
                    Authorization=f"Bearer {key}",
                    X_Model="m0",
                    X_Token_Count="5,1",
                )
            forwarded = [
                headers["X-Request-Urgency"] for headers in engine.received_headers
            ]
            # The customer's priority, 2; the route's, 1, if the customer has none.
            assert forwarded == ["4", "2"]

    asyncio.run(main())


def test_customer_over_quota_is_refused_with_retry_after():
    async def main():
        async with async_relay_harness() as harness:
            plain = await harness.async_add("p1", "plain")
            harness.configure(0, tenants=[ACME])
            harness.configure(1, tenants=CUSTOMERS)
            answers = [
                await async_send(
                    harness, "/once/x", f"q{n}", Authorization="Bearer key-4"
                )
                for n in range(4)
            ]
            statuses = [status for status, _, _ in answers]
            # 9,900 are allowed in 8 s, of which 8,000 are gained. The bucket holds 0.55
            # of the rest, 1,045, which suffices for one request.
            assert statuses == [200, 429, 429, 429]
            assert len(plain.runs) == 1
            retry_delays_s = [
                float(answer["Retry-After"]) for _, answer, _ in answers[1:]
            ]
            assert retry_delays_s == sorted(retry_delays_s) and retry_delays_s[0] > 0.1
            status, _, _ = await async_send(
                harness, "/once/x", "q9", Authorization="Bearer key-1"
            )
            assert status == 200

    asyncio.run(main())


def test_refusal_over_quota_does_not_wait_for_body():
    async def main():
        async with async_relay_harness() as harness:
            await harness.async_add("p1", "plain")
            harness.configure(0, tenants=[ACME])
            harness.configure(1, tenants=CUSTOMERS)
            await async_send(harness, "/once/x", Authorization="Bearer key-4")

            async def async_send_slowly():
                yield b"begun"
                await asyncio.sleep(30)

            async with asyncio.timeout(3):
                async with harness.session.post(
                    f"{harness.url}/once/x",
                    data=async_send_slowly(),
                    headers={
                        "Host": "a.example",
                        "X-Request-Id": "q2",
                        "Authorization": "Bearer key-4",
                    },
                ) as answer:
                    assert answer.status == 429

    asyncio.run(main())


def test_quota_is_refunded_for_request_that_was_not_run():
    async def main():
        async with async_relay_harness() as harness:
            plain = await harness.async_add("p1", "plain")
            plain.faults = type(plain.faults)(refuse=9)
            harness.configure(0, tenants=[ACME])
            harness.configure(1, tenants=CUSTOMERS)
            statuses = []
            for number in range(5):
                status, _, _ = await async_send(
                    harness, "/once/x", f"q{number}", Authorization="Bearer key-4"
                )
                statuses.append(status)
            assert set(statuses) == {503}

    asyncio.run(main())


def test_retry_of_request_that_may_have_run_is_charged_twice():
    async def main():
        async with async_relay_harness() as harness:
            for name in ("p1", "p2"):
                plain = await harness.async_add(name, "plain")
                plain.faults = type(plain.faults)(foreign=1)
            harness.configure(0, tenants=[ACME])
            harness.configure(1, tenants=CUSTOMERS)
            level = harness.quotas.buckets["limited"].level
            await async_send(harness, "/again/x", Authorization="Bearer key-4")
            left = harness.quotas.buckets["limited"].level
            assert level - left == pytest.approx(2000, abs=200)

    asyncio.run(main())


def test_keys_are_not_logged(capfd):
    async def main():
        async with async_relay_harness() as harness:
            await harness.async_add("p1", "plain")
            harness.configure(tenants=CUSTOMERS)
            for key in ("key-1", "wrong-key"):
                bearer = f"Bearer {key}"
                await async_send(harness, "/once/x", Authorization=bearer)

    asyncio.run(main())
    printed = "".join(capfd.readouterr())
    assert "key-1" not in printed and "wrong-key" not in printed
