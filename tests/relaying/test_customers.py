"""Keys and quotas as callers and endpoints see them."""

from __future__ import annotations

import asyncio
import json

import pytest

from chutelink.watching.followed import Knowledge

from .world import async_world

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


async def async_send(world, path, request_id="q1", **headers):
    async with world.request(path, request_id, **headers) as answer:
        return answer.status, answer.headers, await answer.read()


def test_endpoints_are_told_the_customer_and_never_the_key():
    async def main():
        async with async_world() as world:
            plain = await world.async_add("p1", "plain")
            world.configure(tenants=CUSTOMERS)
            status, _, _ = await async_send(
                world, "/once/x", Authorization="Bearer key-1", X_Tenant="other"
            )
            assert status == 200
            assert plain.seen[0]["X-Tenant"] == "acme"
            assert "key-1" not in json.dumps(plain.seen)
            assert "Authorization" not in plain.seen[0]

    asyncio.run(main())


def test_a_stream_that_goes_on_elsewhere_names_the_same_customer():
    async def main():
        async with async_world() as world:
            models = {"m0": []}
            first = await world.async_add("e1", "llm", models)
            second = await world.async_add("e2", "llm", models)
            first.faults = type(first.faults)(cut_after_events=2)
            world.configure(tenants=CUSTOMERS)
            sends = [
                async_send(
                    world,
                    "/stream/x",
                    f"q{number}",
                    Authorization="Bearer key-1",
                    X_Model="m0",
                    X_Token_Count="5,5",
                )
                for number in range(6)
            ]
            await asyncio.gather(*sends)
            seen = first.seen + second.seen
            assert any("Last-Event-ID" in headers for headers in seen)
            assert {headers["X-Tenant"] for headers in seen} == {"acme"}
            assert not any("Authorization" in headers for headers in seen)

    asyncio.run(main())


@pytest.mark.parametrize("key", [None, "Bearer nobodys", "Basic key-1", "Bearer "])
def test_a_key_that_nobody_holds_is_refused(key):
    async def main():
        async with async_world() as world:
            plain = await world.async_add("p1", "plain")
            world.configure(tenants=CUSTOMERS)
            headers = {} if key is None else {"Authorization": key}
            status, answer, body = await async_send(world, "/once/x", **headers)
            assert status == 401
            assert answer["WWW-Authenticate"] == "Bearer"
            assert b"nobodys" not in body
            assert not plain.runs

    asyncio.run(main())


def test_a_daemon_that_is_behind_does_not_call_a_key_wrong():
    """The key may have been added since: the caller would not come back after a 401."""

    async def main():
        async with async_world() as world:
            await world.async_add("p1", "plain")
            world.configure(tenants=CUSTOMERS)
            world.config_knowledge = Knowledge(1, 9.0)
            status, answer, _ = await async_send(
                world, "/once/x", Authorization="Bearer new"
            )
            assert status == 503
            assert float(answer["Retry-After"]) > 0
            status, _, _ = await async_send(
                world, "/once/x", "q2", Authorization="Bearer key-1"
            )
            assert status == 200

    asyncio.run(main())


def test_keys_come_go_and_move_with_new_versions():
    async def main():
        async with async_world() as world:
            plain = await world.async_add("p1", "plain")
            world.configure(1, tenants=[ACME, OTHER])
            moved = [ACME | {"keys": ["key-1"]}, OTHER | {"keys": ["key-2", "key-5"]}]
            world.configure(2, tenants=moved)
            statuses = []
            for number, key in enumerate(["key-1", "key-2", "key-3", "key-5"]):
                bearer = f"Bearer {key}"
                status, _, _ = await async_send(
                    world, "/once/x", f"q{number}", Authorization=bearer
                )
                statuses.append(status)
            assert statuses == [200, 200, 401, 200]
            told = [headers["X-Tenant"] for headers in plain.seen]
            assert told == ["acme", "other", "other"]

    asyncio.run(main())


def test_an_anonymous_route_needs_no_key():
    async def main():
        async with async_world() as world:
            plain = await world.async_add("p1", "plain")
            world.configure(tenants=CUSTOMERS, anonymous=["r-once"])
            for number, key in enumerate([{}, {"Authorization": "Bearer nobodys"}]):
                status, _, _ = await async_send(
                    world, "/once/x", f"q{number}", X_Tenant="acme", **key
                )
                assert status == 200
            assert not any("X-Tenant" in headers for headers in plain.seen)
            status, _, _ = await async_send(world, "/again/x", "q9")
            assert status == 401

    asyncio.run(main())


def test_without_customers_in_the_configuration_keys_go_nowhere():
    async def main():
        async with async_world() as world:
            plain = await world.async_add("p1", "plain")
            world.configure()
            status, _, _ = await async_send(
                world, "/once/x", Authorization="Bearer k", X_Tenant="acme"
            )
            assert status == 200
            assert not {"Authorization", "X-Tenant"} & plain.seen[0].keys()

    asyncio.run(main())


def test_a_customers_rank_goes_before_its_routes():
    async def main():
        async with async_world() as world:
            engine = await world.async_add("e1", "llm", {"m0": []})
            world.configure(tenants=CUSTOMERS)
            for number, key in enumerate(["key-1", "key-3"]):
                await async_send(
                    world,
                    "/stream/x",
                    f"q{number}",
                    Authorization=f"Bearer {key}",
                    X_Model="m0",
                    X_Token_Count="5,1",
                )
            told = [headers["X-Request-Urgency"] for headers in engine.seen]
            # The customer's rank of 2, and the route's of 1 where there is none.
            assert told == ["4", "2"]

    asyncio.run(main())


def test_above_its_quota_a_customer_is_refused_and_told_when_to_come_back():
    async def main():
        async with async_world() as world:
            plain = await world.async_add("p1", "plain")
            world.configure(0, tenants=[ACME])
            world.configure(1, tenants=CUSTOMERS)
            answers = [
                await async_send(
                    world, "/once/x", f"q{n}", Authorization="Bearer key-4"
                )
                for n in range(4)
            ]
            statuses = [status for status, _, _ in answers]
            # 9,900 in 8 s are allowed, 8,000 of them gained: 1,710 are saved up.
            assert statuses == [200, 429, 429, 429]
            assert len(plain.runs) == 1
            waits = [float(answer["Retry-After"]) for _, answer, _ in answers[1:]]
            assert waits == sorted(waits) and waits[0] > 0.1
            status, _, _ = await async_send(
                world, "/once/x", "q9", Authorization="Bearer key-1"
            )
            assert status == 200

    asyncio.run(main())


def test_a_refusal_over_the_quota_does_not_wait_for_the_body():
    async def main():
        async with async_world() as world:
            await world.async_add("p1", "plain")
            world.configure(0, tenants=[ACME])
            world.configure(1, tenants=CUSTOMERS)
            await async_send(world, "/once/x", Authorization="Bearer key-4")

            async def async_endless():
                yield b"begun"
                await asyncio.sleep(30)

            async with asyncio.timeout(3):
                async with world.session.post(
                    f"{world.url}/once/x",
                    data=async_endless(),
                    headers={
                        "Host": "a.example",
                        "X-Request-Id": "q2",
                        "Authorization": "Bearer key-4",
                    },
                ) as answer:
                    assert answer.status == 429

    asyncio.run(main())


def test_what_no_endpoint_ran_is_given_back():
    async def main():
        async with async_world() as world:
            plain = await world.async_add("p1", "plain")
            plain.faults = type(plain.faults)(refuse=9)
            world.configure(0, tenants=[ACME])
            world.configure(1, tenants=CUSTOMERS)
            statuses = []
            for number in range(5):
                status, _, _ = await async_send(
                    world, "/once/x", f"q{number}", Authorization="Bearer key-4"
                )
                statuses.append(status)
            assert set(statuses) == {503}

    asyncio.run(main())


def test_what_may_have_run_counts_twice_when_it_is_sent_again():
    async def main():
        async with async_world() as world:
            for name in ("p1", "p2"):
                plain = await world.async_add(name, "plain")
                plain.faults = type(plain.faults)(foreign=1)
            world.configure(0, tenants=[ACME])
            world.configure(1, tenants=CUSTOMERS)
            level = world.quotas.buckets["limited"].level
            await async_send(world, "/again/x", Authorization="Bearer key-4")
            left = world.quotas.buckets["limited"].level
            assert level - left == pytest.approx(2000, abs=200)

    asyncio.run(main())


def test_keys_stand_in_no_log_line(capfd):
    async def main():
        async with async_world() as world:
            await world.async_add("p1", "plain")
            world.configure(tenants=CUSTOMERS)
            for key in ("key-1", "wrong-key"):
                bearer = f"Bearer {key}"
                await async_send(world, "/once/x", Authorization=bearer)

    asyncio.run(main())
    printed = "".join(capfd.readouterr())
    assert "key-1" not in printed and "wrong-key" not in printed
