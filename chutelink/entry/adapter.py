"""What an entry daemon needs of the platform that it runs on."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
from aiohttp import web

from ..placing.inventory import EngineClient
from ..settings import PlatformSection
from ..store import WatchedTable
from ..store.http import ReadRetry
from .config import RoutingConfig
from .dialect import Dialect
from .directory import Directory
from .endpoints import EndpointRecord

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class PlatformAdapter(ABC):
    """Makes the parts that speak one platform's protocols."""

    @abstractmethod
    def make_table(
        self,
        session: aiohttp.ClientSession,
        settings: PlatformSection,
        on_retry: Callable[[ReadRetry], None],
    ) -> WatchedTable:
        """Return the table service; reads are sent a second time when unanswered."""

    @abstractmethod
    def make_engine_client(self, session: aiohttp.ClientSession) -> EngineClient:
        """Return the client for reports and orders."""

    @abstractmethod
    def make_dialect(self) -> Dialect:
        """Return the codec of callers' and endpoints' headers."""

    @abstractmethod
    def decode_config(self, value: Any) -> RoutingConfig:
        """Return a configuration from its row."""

    @abstractmethod
    def decode_endpoint(self, name: str, value: Any) -> EndpointRecord:
        """Return an endpoint's record from its row."""

    @abstractmethod
    def compact_row(self, key: str, value: Any) -> Any:
        """Return a row's value as daemons keep it and tell each other.

        Without what changes with every sign of life, and without callers' keys.
        """

    @abstractmethod
    def make_directory_handler(self, directory: Directory) -> Handler:
        """Return the handler of callers' questions for addresses."""

    @abstractmethod
    def make_ready_handler(self, is_ready: Callable[[], bool]) -> Handler:
        """Return the handler of the readiness check."""
