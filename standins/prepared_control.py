"""HTTP API by which tests control the stand-in for the prepared machines."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from aiohttp import web

from .metadata_store import StoreSnapshot
from .web import json_response, merge_faults

if TYPE_CHECKING:
    from .prepared import PreparedMachines


class ControlApi:
    """HTTP API by which a test in another process controls the stand-in."""

    def __init__(self, machines: PreparedMachines) -> None:
        self._machines = machines
        self._snapshot: StoreSnapshot | None = None

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of the API."""
        app.router.add_put("/standin/config", self.async_config)
        app.router.add_post("/standin/endpoints/{name}", self.async_endpoint)
        app.router.add_get("/standin/endpoints", self.async_list)
        app.router.add_post("/standin/forget", self.async_forget)
        app.router.add_post("/standin/store/copy", self.async_copy)
        app.router.add_post("/standin/store/restore", self.async_restore)
        app.router.add_post("/standin/cold/{target}", self.async_make_cold)
        app.router.add_post("/standin/silence/{target}", self.async_fall_silent)
        app.router.add_put("/standin/evacuations/{domain}", self.async_evacuate)
        app.router.add_delete("/standin/evacuations/{domain}", self.async_take_back)
        app.router.add_get("/standin/arrivals", self.async_arrivals)
        app.router.add_put("/standin/rows/{table}/{key}", self.async_put_row)
        app.router.add_delete("/standin/rows/{table}/{key}", self.async_remove_row)

    async def async_config(self, request: web.Request) -> web.Response:
        """Write a configuration."""
        config = json.loads(await request.read())
        version = self._machines.configure(config)
        return json_response({"ver": version})

    async def async_endpoint(self, request: web.Request) -> web.Response:
        """Change an endpoint's injected faults or its state."""
        endpoint = self._machines.endpoints[request.match_info["name"]]
        state = request.query.get("state")
        if state is not None:
            endpoint.change_state(state)
            self._machines.register(endpoint.first_name)
        endpoint.faults = merge_faults(endpoint.faults, await request.read() or b"{}")
        return json_response(endpoint.faults)

    async def async_list(self, request: web.Request) -> web.Response:
        """Return the runs, orders, models and event times of each endpoint."""
        return json_response(
            {
                name: {
                    "runs": e.runs,
                    "orders": e.orders,
                    "models": e.models,
                    "cancelled": e.cancelled,
                    "ends": e.crash_count,
                    "deadly_s": e.crash_runs_s,
                    "arrived_s": e.arrived_s,
                    "told_s": e.signaled_s,
                }
                for name, e in self._machines.endpoints.items()
            }
        )

    async def async_make_cold(self, request: web.Request) -> web.Response:
        """Make an endpoint or a failure domain cold, with a restart if asked for."""
        target, restarts = request.match_info["target"], "restart" in request.query
        count = self._machines.make_cold(target, restarts=restarts)
        return json_response({"count": count}, status=200 if count else 404)

    async def async_fall_silent(self, request: web.Request) -> web.Response:
        """Make an endpoint or a failure domain send nothing for ``for_s`` seconds."""
        target, for_s = request.match_info["target"], float(request.query["for_s"])
        count = self._machines.fall_silent(target, for_s)
        return json_response({"count": count}, status=200 if count else 404)

    async def async_evacuate(self, request: web.Request) -> web.Response:
        """Evacuate a failure domain; return the time of the acknowledgement."""
        return json_response(self._machines.evacuate(request.match_info["domain"]))

    async def async_take_back(self, request: web.Request) -> web.Response:
        """Take a failure domain back into service."""
        self._machines.take_back(request.match_info["domain"])
        return json_response({})

    async def async_arrivals(self, request: web.Request) -> web.Response:
        """Return all arrivals and evacuations."""
        endpoints = self._machines.endpoints.values()
        arrivals = [arrival for e in endpoints for arrival in e.arrivals]
        evacuations = self._machines.evacuations
        return json_response({"arrivals": arrivals, "evacuations": evacuations})

    async def async_put_row(self, request: web.Request) -> web.Response:
        """Write a row as another program would; the body is the raw stored value."""
        table, key = request.match_info["table"], request.match_info["key"]
        version = self._machines.store.put_raw(table, key, await request.text())
        return json_response({"ver": version})

    async def async_remove_row(self, request: web.Request) -> web.Response:
        """Remove a row."""
        table, key = request.match_info["table"], request.match_info["key"]
        return json_response({"ver": self._machines.store.remove(table, key)})

    async def async_copy(self, request: web.Request) -> web.Response:
        """Keep a snapshot of the store."""
        self._snapshot = self._machines.store.snapshot()
        return json_response({"ver": self._snapshot.version})

    async def async_restore(self, request: web.Request) -> web.Response:
        """Restore the snapshot; return once all rows are rewritten."""
        if self._snapshot is None:
            return json_response({"error": "no copy was kept"}, status=409)
        await self._machines.async_restore(self._snapshot)
        return json_response({"era": self._machines.store.era})

    async def async_forget(self, request: web.Request) -> web.Response:
        """Drop the store's change history."""
        self._machines.store.forget_history()
        return json_response({})
