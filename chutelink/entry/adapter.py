"""Interface between the entry daemon and the platform that it runs on."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
from aiohttp import web

from ..ids import FailureDomainName, ServiceName
from ..placing.inventory import EngineClient
from ..presence.check import PresenceCheck
from ..settings import PlatformSection
from ..store import WatchableTable
from ..store.http import ReadRetry
from .config import RoutingConfig, ServiceSpec
from .directory import Directory
from .endpoints import EndpointRecord
from .headers import HeaderCodec

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class PlatformAdapter(ABC):
    """Creates the components that implement one platform's protocols."""

    @abstractmethod
    def make_table(
        self,
        session: aiohttp.ClientSession,
        settings: PlatformSection,
        on_retry: Callable[[ReadRetry], None],
    ) -> WatchableTable:
        """Return the table service client, which sends an unanswered read again."""

    @abstractmethod
    def make_engine_client(self, session: aiohttp.ClientSession) -> EngineClient:
        """Return the client for the reports and orders of endpoints."""

    @abstractmethod
    def make_presence_check(
        self,
        session: aiohttp.ClientSession,
        find_service: Callable[[ServiceName], ServiceSpec | None],
    ) -> PresenceCheck:
        """Return the check of endpoints' processes; ``find_service`` is by name."""

    @abstractmethod
    def make_header_codec(self) -> HeaderCodec:
        """Return the codec for the headers of callers and endpoints."""

    @abstractmethod
    def decode_config(self, value: Any) -> RoutingConfig:
        """Return the configuration decoded from its row."""

    @abstractmethod
    def decode_endpoint(self, name: str, value: Any) -> EndpointRecord:
        """Return the endpoint record decoded from its row."""

    @abstractmethod
    def decode_evacuated_domain(self, key: str) -> FailureDomainName | None:
        """Return the failure domain that a row of this key evacuates, if any."""

    @abstractmethod
    def compact_row(self, key: str, value: Any) -> Any:
        """Return the form of a row's value that daemons store and exchange.

        It omits fields that change with every heartbeat, and callers' keys.
        """

    @abstractmethod
    def make_directory_handler(self, directory: Directory) -> Handler:
        """Return the handler for address lookups by callers."""

    @abstractmethod
    def make_ready_handler(self, is_ready: Callable[[], bool]) -> Handler:
        """Return the handler for readiness checks."""
