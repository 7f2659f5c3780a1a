"""No request reaches an endpoint over two seconds after the store says it leaves.

Guards against a daemon that treats a failed call of its own as an outage of the store.
The reading daemon loses one call and reads again; an endpoint then leaves by removing
its registration. The removal is read after 0 to 0.4 s. All daemons take it for a row
that lapsed in an outage, and keep the endpoint usable for 1.8 s, and for up to 0.2 s
more until the next expiry: up to 2.4 s in all. In simulations with the reader
disconnected for 0.5 to 1.2 s, all seven daemons logged ``endpoint_lapsed`` 0.18 s after
the store's acknowledgement, the last request was sent 2.05 to 2.13 s after it and
answered in full, and ``endpoint_gone reason=lapsed`` followed. That request would have
failed if the endpoint had ended sooner.

The other tests guard against data that is taken for newer, or for more complete, than
it is.
"""

from __future__ import annotations

import asyncio

from ..virtual_time import run_in_virtual_time
from .leaving_soak import async_soak
from .watching_fleet import async_fleet

NEVER_S = float("inf")
SOAK_SEEDS = (*range(1, 21), 1082, 1158, 3078)
"""The last three failed once, on earlier code or with earlier models of the store."""
SOAK_S = 40.0


def test_failed_call_of_reader_is_not_a_store_outage():
    async def async_test():
        for seed in range(20):
            async with async_fleet(seed=seed) as fleet:
                reader = fleet.daemons[0]
                reader.healthy_since_s = NEVER_S
                reader.connection.is_disconnected = True
                await fleet.async_advance(1.6 + 0.02 * seed)
                reader.connection.is_disconnected = False
                await fleet.async_advance(1.0)
                fleet.store.remove("e1")
                await fleet.async_advance(3.0)

    run_in_virtual_time(async_test())


def test_delayed_updates_count_with_their_real_age():
    """Updates that are delayed by 1.9 s must not make copies look freshly read."""

    async def async_test():
        async with async_fleet() as fleet:
            reader = fleet.daemons[0]
            reader.healthy_since_s = NEVER_S
            reader.update_delay_s = lambda peer: 1.9
            fleet.start_task(fleet.async_write_heartbeats())
            await fleet.async_advance(4.0)
            for name in ("e0", "e1", "e2"):
                fleet.store.register(name, "draining")
                await fleet.async_advance(2.9)

    run_in_virtual_time(async_test())


def test_full_read_after_lost_history_reaches_daemons_that_missed_updates():
    async def async_test():
        async with async_fleet() as fleet:
            reader, other = fleet.daemons[0], fleet.daemons[5]
            fleet.start_task(fleet.async_write_heartbeats())
            never_s = float("inf")
            reader.update_delay_s = lambda peer: never_s if peer == other.name else 0.0
            fleet.store.register("e1", "draining")
            while "e1" in reader.usable():
                await asyncio.sleep(0.01)
            reader.update_delay_s = lambda peer: 0.0
            fleet.store.register("e2")
            fleet.store.drop_history()
            await fleet.async_advance(5.0)

    run_in_virtual_time(async_test())


def test_live_endpoints_removed_in_outage_stay_usable_until_reregistered():
    async def async_test():
        for seed in range(10):
            async with async_fleet(seed=seed) as fleet:
                store = fleet.store
                store.is_down = True
                await fleet.async_advance(4.0)
                store.remove("e1", is_leaving=False)
                store.remove("e2", is_leaving=False)
                store.is_down = False
                for _ in range(190):
                    await asyncio.sleep(0.01)
                    assert all("e1" in daemon.usable() for daemon in fleet.daemons)
                store.register("e1")
                await asyncio.sleep(2.2)
                assert all("e1" in daemon.usable() for daemon in fleet.daemons)
                assert not any("e2" in daemon.usable() for daemon in fleet.daemons)

    run_in_virtual_time(async_test())


def test_endpoint_that_left_is_not_reused_after_restore():
    """The backup has it as ready until the endpoint writes again that it leaves."""

    async def async_test():
        for leave in ("drain", "remove"):
            async with async_fleet() as fleet:
                store = fleet.store
                await fleet.async_advance(4.0)
                backup = store.backup()
                _leave(store, leave)
                await fleet.async_advance(1.5)
                store.restore(backup)
                store.healthy_since_s = asyncio.get_running_loop().time()
                await fleet.async_advance(1.8)
                _leave(store, leave)
                await fleet.async_advance(6.0)

    run_in_virtual_time(async_test())


def _leave(store, how):
    if how == "drain":
        store.register("e1", "draining")
    else:
        store.remove("e1")


def test_live_endpoints_missing_from_backup_stay_usable_until_reregistered():
    """Even if the outage was too short for registrations to lapse."""

    async def async_test():
        async with async_fleet() as fleet:
            store = fleet.store
            backup = store.backup()
            store.register("e8")
            await fleet.async_advance(1.5)
            assert all("e8" in daemon.usable() for daemon in fleet.daemons)
            store.restore(backup)
            for _ in range(100):
                await asyncio.sleep(0.01)
                assert all("e8" in daemon.usable() for daemon in fleet.daemons)
            store.register("e8")
            await asyncio.sleep(4.0)
            assert all("e8" in daemon.usable() for daemon in fleet.daemons)

    run_in_virtual_time(async_test())


def test_lapsed_endpoint_restored_from_backup_is_reused_if_alive():
    """The backup has rows that had lapsed; those of dead endpoints lapse again."""

    async def async_test():
        async with async_fleet() as fleet:
            store = fleet.store
            backup = store.backup()
            store.remove("e1", is_leaving=False)
            store.remove("e2", is_leaving=False)
            await fleet.async_advance(1.5)
            store.restore(backup)
            for _ in range(350):
                await asyncio.sleep(0.01)
                assert not any("e1" in daemon.usable() for daemon in fleet.daemons)
            store.remove("e2", is_leaving=False)
            await asyncio.sleep(3.0)
            assert all("e1" in daemon.usable() for daemon in fleet.daemons)
            assert not any("e2" in daemon.usable() for daemon in fleet.daemons)

    run_in_virtual_time(async_test())


def test_healthy_daemons_avoid_leaving_endpoints_under_random_faults():
    """Longer runs: python -m tests.watching.leaving_soak --first 1 --seeds 1000."""
    for seed in SOAK_SEEDS:
        run_in_virtual_time(async_soak(seed, SOAK_S))


def test_only_first_rank_reads_store_without_faults():
    """Calls to the store are charged for, so rank 0 alone reads while nothing fails."""

    async def async_test():
        async with async_fleet() as fleet:
            fleet.start_task(fleet.async_write_heartbeats())
            await fleet.async_advance(20.0)
            assert [daemon.connection.calls for daemon in fleet.daemons[1:]] == [1] * 6

    run_in_virtual_time(async_test())


def test_disconnected_daemon_does_not_infer_store_outage():
    """A daemon that received nothing used an endpoint 0.1 s beyond the bound.

    A daemon is disconnected from the store and its peers for some seconds. When the
    store is reachable again, the daemon's calls pause for up to another second and its
    links are still down; an endpoint leaves by removing its registration, and then the
    daemon reads the store. A request reached the endpoint 2.11 s after the store had
    acknowledged that it leaves, 4 ms after the request was accepted, and was answered
    in full.
    """

    async def async_test():
        for seed in range(20):
            async with async_fleet(seed=seed) as fleet:
                daemon = fleet.daemons[5]
                fleet.start_task(fleet.async_write_heartbeats())
                daemon.healthy_since_s = NEVER_S
                daemon.connection.is_disconnected = daemon.is_isolated = True
                await fleet.async_advance(4.0 + 0.1 * seed)
                daemon.connection.is_disconnected = False
                daemon.healthy_since_s = asyncio.get_running_loop().time()
                await fleet.async_advance(0.9)
                fleet.store.remove("e1")
                await fleet.async_advance(0.4 + 0.02 * seed)
                daemon.is_isolated = False
                await fleet.async_advance(4.0)

    run_in_virtual_time(async_test())


def test_disconnected_daemon_does_not_count_late_answer_as_store_recovery():
    """The store is restored from a backup while the daemon is disconnected.

    The backup is current, so that no writes are lost.
    """

    async def async_test():
        for seed in range(20):
            async with async_fleet(seed=seed) as fleet:
                daemon, store = fleet.daemons[5], fleet.store
                fleet.start_task(fleet.async_write_heartbeats())
                daemon.healthy_since_s = NEVER_S
                daemon.connection.is_disconnected = daemon.is_isolated = True
                store.restore(store.backup())
                await fleet.async_advance(4.0 + 0.1 * seed)
                daemon.connection.is_disconnected = False
                daemon.healthy_since_s = asyncio.get_running_loop().time()
                await fleet.async_advance(0.9)
                store.remove("e1")
                await fleet.async_advance(0.4 + 0.02 * seed)
                daemon.is_isolated = False
                await fleet.async_advance(4.0)

    run_in_virtual_time(async_test())


def test_calls_hanging_for_a_second_are_not_a_store_outage():
    """Rank 0 is disconnected, the others read in turn, and their calls hang once.

    The known answers of the store are then over two seconds apart, although no
    registration can lapse in such a short time.
    """

    async def async_test():
        for seed in range(30):
            async with async_fleet(seed=seed) as fleet:
                store = fleet.store
                fleet.start_task(fleet.async_write_heartbeats())
                fleet.daemons[0].healthy_since_s = NEVER_S
                fleet.daemons[0].connection.is_disconnected = True
                await fleet.async_advance(3.0 + 0.03 * seed)
                store.is_down = True
                store.remove("e1")
                await fleet.async_advance(1.1)
                store.is_down = False
                await fleet.async_advance(4.0)

    run_in_virtual_time(async_test())


def test_daemon_rejected_by_store_recovers_missed_changes_from_peers():
    """Updates from its peers follow changes that it never received.

    The store rejects its calls, so the daemon can't fill the gap by a read. The bound
    applies all the same, since its links work.
    """

    async def async_test():
        for seed in range(10):
            async with async_fleet(seed=seed) as fleet:
                daemon = fleet.daemons[4]
                fleet.start_task(fleet.async_write_heartbeats())
                daemon.connection.is_rejected = True
                await fleet.async_advance(1.0)
                daemon.is_isolated = True
                daemon.healthy_since_s = NEVER_S
                fleet.store.register("e7")
                await fleet.async_advance(1.0)
                daemon.is_isolated = False
                daemon.healthy_since_s = asyncio.get_running_loop().time()
                await fleet.async_advance(2.0)
                fleet.store.register("e1", "draining")
                await fleet.async_advance(6.0)

    run_in_virtual_time(async_test())
