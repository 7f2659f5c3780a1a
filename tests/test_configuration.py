"""Configuration versions are applied once, completely and in ascending order."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from chutelink.configuration import ConfigHead, ConfigManager
from chutelink.const import KEY_CONFIG_HEAD
from chutelink.exceptions import PlatformUnavailable
from chutelink.fleet import hash_fleet
from chutelink.ids import ApplyId, ConfigVersion, WriteId
from chutelink.peers.messages import ConfigBody
from chutelink.settings import PlatformSection
from chutelink.store import Transaction, Write

from .fakes import make_core, make_platform

CHANGE_BOUND_S = 4.0
TEXT = "[failure_domain a]\n"


def make_mesh():
    return SimpleNamespace(
        announce_config=lambda: None,
        request_config=lambda version: None,
        highest_peer_version=lambda: ConfigVersion(0),
    )


def commit(platform, version, text=TEXT):
    head = ConfigHead(ConfigVersion(version), hash_fleet(text), ApplyId("x"))
    platform.objects.bodies[head.hash] = text.encode()
    write = Write(KEY_CONFIG_HEAD, msgspec.to_builtins(head))
    platform.table.table.commit(Transaction(WriteId("w"), (), (write,)))


def make_config_manager():
    platform = make_platform()
    config_manager = ConfigManager(make_core(), platform, make_mesh(), 1.0)
    return platform, config_manager


def test_body_arriving_from_peer_during_fetch():
    platform, config_manager = make_config_manager()
    commit(platform, 1)
    body = ConfigBody(ConfigVersion(1), hash_fleet(TEXT), TEXT)
    platform.objects.on_get = lambda: config_manager._on_peer_body(body)
    asyncio.run(config_manager._async_poll())
    assert config_manager.version == 1
    assert config_manager.is_confirmed


def test_first_poll_after_commit_applies_it_within_bound():
    platform, config_manager = make_config_manager()
    commit(platform, 1)
    asyncio.run(config_manager._async_poll())
    assert config_manager.version == 1
    # The longest wait for the next poll, and the time limit of its two calls.
    defaults = PlatformSection(url="http://x", key="k")
    max_delay_s = defaults.poll_interval_s + defaults.timeout_s
    assert max_delay_s < CHANGE_BOUND_S


def test_stale_head_does_not_lower_version():
    platform, config_manager = make_config_manager()
    commit(platform, 2)
    asyncio.run(config_manager._async_poll())
    commit(platform, 1)
    asyncio.run(config_manager._async_poll())
    assert config_manager.version == 2


def test_body_that_differs_from_commit_is_rejected():
    platform, config_manager = make_config_manager()
    commit(platform, 1)
    config_manager._on_peer_body(
        ConfigBody(ConfigVersion(3), hash_fleet(TEXT), "[fleet]\n")
    )
    assert config_manager.version == 0


def test_body_that_is_cut_within_a_character_is_fetched_again():
    """Guards against a part of a response that ends the polls."""
    platform, config_manager = make_config_manager()
    text = TEXT + "# Größe\n"
    commit(platform, 1, text)
    (name,) = platform.objects.bodies
    platform.objects.bodies[name] = text.encode()[: -len(b"\x9fe\n")]
    asyncio.run(config_manager._async_poll())
    assert config_manager.version == 0
    platform.objects.bodies[name] = text.encode()
    asyncio.run(config_manager._async_poll())
    assert config_manager.version == 1


def test_missing_body_is_fetched_again():
    platform, config_manager = make_config_manager()
    commit(platform, 1)
    bodies = dict(platform.objects.bodies)
    platform.objects.bodies.clear()
    with pytest.raises(PlatformUnavailable):
        asyncio.run(config_manager._async_poll())
    platform.objects.bodies.update(bodies)
    asyncio.run(config_manager._async_poll())
    assert config_manager.version == 1


def test_version_from_peer_is_unconfirmed_during_table_outage():
    platform, config_manager = make_config_manager()
    commit(platform, 1)
    platform.table.is_out = True
    config_manager._on_peer_body(ConfigBody(ConfigVersion(1), hash_fleet(TEXT), TEXT))
    assert (config_manager.version, config_manager.is_confirmed) == (1, False)
    platform.table.is_out = False
    asyncio.run(config_manager._async_poll())
    assert config_manager.is_confirmed
