"""Waiting of requests for a model that no endpoint has."""

from __future__ import annotations

from collections.abc import Callable

from ..core import Application
from ..eligibility.checker import EligibilityChecker
from ..entry.endpoints import Endpoint, EndpointTable
from ..entry.load_tracker import LoadTracker
from ..entry.pending import PendingTable
from ..gateway.refusals import Refusal, unavailable
from ..learning.speeds import SpeedTable
from .exchange import Exchange
from .model_wait import (
    HONORED_RETRY_SHARE,
    LOAD_MARGIN_S,
    PLANNING_S,
    ModelWait,
    model_retry_delay_s,
    wait_until_s,
)


class ModelWaiter:
    """Holds requests until their model is loaded, and reports the demand.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    table : EndpointTable
        The endpoints.
    speeds : SpeedTable
        Prefill times of prompts.
    pending : PendingTable
        Loads in progress.
    loads : LoadTracker
        Collects the demand that is reported to the placer.
    eligibility : EligibilityChecker
        Decides which endpoints a request may be sent to.
    """

    def __init__(
        self,
        core: Application,
        table: EndpointTable,
        speeds: SpeedTable,
        pending: PendingTable,
        loads: LoadTracker,
        eligibility: EligibilityChecker,
    ) -> None:
        self._core = core
        self._table = table
        self._speeds = speeds
        self._pending = pending
        self._loads = loads
        self._eligibility = eligibility

    async def async_wait(
        self, exchange: Exchange, choose: Callable[[Exchange], Endpoint | None]
    ) -> Endpoint:
        """Return an endpoint once ``choose`` finds one.

        Raises
        ------
        Refusal
            No endpoint has the model in time.
        """
        meta = exchange.meta
        is_patient = self._has_time_for_cold_load(exchange)
        homes = exchange.requirements.home_regions
        self._loads.begin_wait(
            meta.model, meta.adapter, is_patient=is_patient, homes=homes
        )
        try:
            return await self._async_wait_for_model(exchange, choose)
        except Refusal as refusal:
            self._keep_demand_until_retry(exchange, refusal)
            raise
        finally:
            self._loads.end_wait(
                meta.model, meta.adapter, is_patient=is_patient, homes=homes
            )

    async def _async_wait_for_model(
        self, exchange: Exchange, choose: Callable[[Exchange], Endpoint | None]
    ) -> Endpoint:
        wait_started_s = self._core.clock()
        while True:
            wait = self._make_wait(exchange, wait_started_s)
            until_s = wait_until_s(wait)
            if until_s <= wait.now_s:
                raise self._make_refusal(exchange, wait)
            await self._pending.async_wait(until_s - wait.now_s)
            row = choose(exchange)
            if row is not None:
                self._core.events.record(
                    "model_waited_for",
                    request=exchange.meta.id,
                    model=exchange.meta.model,
                    adapter=exchange.meta.adapter,
                    endpoint=row.record.id,
                    waited_s=self._core.clock() - wait_started_s,
                )
                return row

    def _make_wait(self, exchange: Exchange, started_s: float) -> ModelWait:
        meta = exchange.meta
        now_s = self._core.clock()
        spec = exchange.service.engine.models[meta.model]
        is_base_model_loaded = self._is_base_model_loaded(exchange)
        return ModelWait(
            now_s=now_s,
            started_s=started_s,
            last_s=exchange.first_event_deadline_s,
            read_s=self._speeds.read_s(meta.model, meta.prompt_tokens),
            copy_load_s=0.0 if is_base_model_loaded else spec.disk_load_s,
            cold_load_s=0.0 if is_base_model_loaded else spec.cold_load_s,
            ready_s=self._pending.ready_s(meta.model, meta.adapter, now_s),
            is_held_off=self._has_unavailable_replica(exchange),
            is_declined=self._is_declined(exchange, started_s),
        )

    def _make_refusal(self, exchange: Exchange, wait: ModelWait) -> Refusal:
        missing = "adapter" if self._is_base_model_loaded(exchange) else "model"
        is_loading = wait.ready_s is not None
        reason = "is being loaded" if is_loading else "is not loaded"
        return unavailable(f"the {missing} {reason}", model_retry_delay_s(wait))

    def _has_unavailable_replica(self, exchange: Exchange) -> bool:
        """Return whether an endpoint with the model and adapter doesn't take it.

        The endpoint accepts nothing now, or the request was already sent to it.
        """
        meta = exchange.meta
        now_s = self._core.clock()
        return any(
            row.holds(meta.model, meta.adapter)
            and (
                row.accepts_from_s(now_s) is not None or row.record.id in exchange.tried
            )
            for row in self._eligible_rows(exchange, now_s)
        )

    def _is_declined(self, exchange: Exchange, wait_started_s: float) -> bool:
        """Return whether the placer planned no load although it knows of the request.

        An announcement lists all models without a replica that requests wait for, if
        endpoints can load them. Adapters, and models that are loaded outside of the
        request's home regions, are listed only once their load has begun.
        """
        if exchange.requirements.home_regions is not None:
            return False
        if self._is_base_model_loaded(exchange):
            return False
        return self._pending.heard_s >= wait_started_s + PLANNING_S

    def _is_base_model_loaded(self, exchange: Exchange) -> bool:
        """Return whether an endpoint has the model, so only the adapter is missing.

        An adapter loads within some ms.
        """
        rows = self._eligible_rows(exchange, self._core.clock())
        return any(row.holds(exchange.meta.model) for row in rows)

    def _eligible_rows(self, exchange: Exchange, now_s: float) -> list[Endpoint]:
        rows = self._table.of_service(exchange.service.name, now_s)
        return self._eligibility.eligible(rows, exchange.requirements, now_s)

    def _has_time_for_cold_load(self, exchange: Exchange) -> bool:
        """Return whether a load from the weight store is ready before it gives up."""
        meta = exchange.meta
        spec = exchange.service.engine.models[meta.model]
        read_s = self._speeds.read_s(meta.model, meta.prompt_tokens)
        left_s = exchange.first_event_deadline_s - self._core.clock()
        return spec.cold_load_s + LOAD_MARGIN_S + read_s <= left_s

    def _keep_demand_until_retry(self, exchange: Exchange, refusal: Refusal) -> None:
        """Keep reporting the demand until the caller retries, if it is to retry.

        It counts as patient: by then there is time for a load.
        """
        if refusal.retry_after_s is None:
            return
        left_s = exchange.left_s(self._core.clock())
        retry_delay_s = min(refusal.retry_after_s, HONORED_RETRY_SHARE * left_s)
        meta = exchange.meta
        homes = exchange.requirements.home_regions
        self._loads.begin_wait(meta.model, meta.adapter, is_patient=True, homes=homes)
        self._loads.extend_wait(meta.model, meta.adapter, retry_delay_s, homes)


def can_be_loaded(exchange: Exchange) -> bool:
    """Return whether the service's endpoints could load the requested model."""
    engine = exchange.service.engine
    return engine is not None and exchange.meta.model in engine.models
