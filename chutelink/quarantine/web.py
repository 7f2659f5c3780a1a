"""Operator API that lists held requests and releases them."""

from __future__ import annotations

import secrets

import msgspec
from aiohttp import web

from ..ids import Fingerprint
from .service import Quarantine

PATH_HELD = "/held"


class HeldRequest(msgspec.Struct, frozen=True):
    """A held request; ``left_s`` is the time until it may be retried."""

    fingerprint: Fingerprint
    about: str
    endings: tuple[str, ...]
    left_s: float
    trials: int


class HeldRequests(msgspec.Struct, frozen=True):
    """All held requests."""

    held: list[HeldRequest]


class QuarantineHandlers:
    """HTTP handlers for operators.

    Parameters
    ----------
    quarantine : Quarantine
        Quarantine that is listed and changed.
    operator_key : str
        Bearer key that authorizes operators.
    """

    def __init__(self, quarantine: Quarantine, operator_key: str) -> None:
        self._quarantine = quarantine
        self._expected_authorization = f"Bearer {operator_key}".encode()

    def add_routes(self, app: web.Application) -> None:
        """Add the routes."""
        app.router.add_get(PATH_HELD, self.async_list)
        app.router.add_delete(PATH_HELD + "/{fingerprint}", self.async_release)

    def _require_operator(self, request: web.Request) -> None:
        given = request.headers.get("Authorization", "")
        if not secrets.compare_digest(given.encode(), self._expected_authorization):
            raise web.HTTPUnauthorized(text="operator key missing or wrong")

    async def async_list(self, request: web.Request) -> web.Response:
        """Return the held requests and their endings."""
        self._require_operator(request)
        held = [
            HeldRequest(
                fingerprint,
                hold.about,
                tuple(ending.label for ending in hold.endings),
                self._quarantine.back_in_s(fingerprint),
                hold.trials,
            )
            for fingerprint, hold in self._quarantine.table.holds().items()
        ]
        return web.Response(
            body=msgspec.json.encode(HeldRequests(held)),
            content_type="application/json",
        )

    async def async_release(self, request: web.Request) -> web.Response:
        """Release a held request at all daemons, also at those that start later.

        If the store can't be updated, the request may run, but the operator has to
        repeat the call.
        """
        self._require_operator(request)
        fingerprint = Fingerprint(request.match_info["fingerprint"])
        is_held = self._quarantine.release(fingerprint, "operator")
        if not is_held and not self._quarantine.is_removal_pending(fingerprint):
            raise web.HTTPNotFound(text="nothing is held against it here")
        if not await self._quarantine.async_store_removal(fingerprint):
            raise web.HTTPServiceUnavailable(text="released, but not in the store")
        return web.Response(status=204)
