"""Platform adapter for the operators' prepared machines."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import aiohttp

from ..const import KEY_ROUTING_CONFIG, TABLE_ENDPOINTS
from ..entry.adapter import Handler, PlatformAdapter
from ..entry.config import RoutingConfig, ServiceSpec
from ..entry.directory import Directory
from ..entry.endpoints import EndpointRecord
from ..entry.headers import HeaderCodec
from ..ids import FailureDomainName, ServiceName
from ..placing.inventory import EngineClient
from ..presence.check import PresenceCheck
from ..settings import PlatformSection
from ..store import WatchableTable
from ..store.http import ReadRetry
from .configuration import decode_config
from .customers import hash_keys
from .endpoints import compact_registration, decode_registration
from .engine import HttpEngineClient
from .evacuation import compact_evacuation, decode_evacuated_domain
from .headers import PlatformHeaderCodec
from .http import make_directory_handler, make_ready_handler
from .presence import HttpPresenceCheck
from .store import async_setup_store


class PreparedMachinesAdapter(PlatformAdapter):
    """Creates the components that use the prepared machines' protocols."""

    def make_table(
        self,
        session: aiohttp.ClientSession,
        settings: PlatformSection,
        on_retry: Callable[[ReadRetry], None],
    ) -> WatchableTable:
        """Return the client of the table service."""
        return async_setup_store(session, settings, on_retry)

    def make_engine_client(self, session: aiohttp.ClientSession) -> EngineClient:
        """Return the client for endpoint reports and orders."""
        return HttpEngineClient(session)

    def make_presence_check(
        self,
        session: aiohttp.ClientSession,
        find_service: Callable[[ServiceName], ServiceSpec | None],
    ) -> PresenceCheck:
        """Return the check of endpoints' processes; ``find_service`` is by name."""
        return HttpPresenceCheck(session, find_service)

    def make_header_codec(self) -> HeaderCodec:
        """Return the codec for the headers of callers and endpoints."""
        return PlatformHeaderCodec()

    def decode_config(self, value: Any) -> RoutingConfig:
        """Decode the routing configuration from its row value."""
        return decode_config(value)

    def decode_endpoint(self, name: str, value: Any) -> EndpointRecord:
        """Decode an endpoint record from its row value."""
        return decode_registration(name, value)

    def decode_evacuated_domain(self, key: str) -> FailureDomainName | None:
        """Return the failure domain that a row of this key evacuates, if any."""
        return decode_evacuated_domain(key)

    def compact_row(self, key: str, value: Any) -> Any:
        """Return a row value without heartbeat fields and plaintext keys."""
        if key == KEY_ROUTING_CONFIG:
            return hash_keys(value)
        if decode_evacuated_domain(key) is not None:
            return compact_evacuation(value)
        is_endpoint = key.startswith(f"{TABLE_ENDPOINTS}/")
        return compact_registration(value) if is_endpoint else value

    def make_directory_handler(self, directory: Directory) -> Handler:
        """Return the handler for address lookups by callers."""
        return make_directory_handler(directory)

    def make_ready_handler(self, is_ready: Callable[[], bool]) -> Handler:
        """Return the handler for readiness checks."""
        return make_ready_handler(is_ready)
