"""HTTP client for reports of engine endpoints and orders to them."""

from __future__ import annotations

import aiohttp

from ..entry.endpoints import Endpoint
from ..exceptions import EndpointFailed, EndpointSilent, EndpointUnreachable
from ..placing.inventory import (
    ORDER_TIMEOUT_S,
    EndpointReport,
    EngineClient,
    Order,
    OrderAnswer,
)
from ..responses import MAX_CONTROL_BYTES, async_read_body
from .endpoints import PATH_ORDER, PATH_REPORT, decode_report, encode_order
from .headers import HEADER_EXPECT_INSTANCE

HTTP_OK = 200
ORDER_ANSWERS = {
    200: OrderAnswer.ALREADY_HOLDS,
    202: OrderAnswer.ACCEPTED,
    409: OrderAnswer.CONFLICT,
    412: OrderAnswer.FENCED_OFF,
    421: OrderAnswer.OTHER_INSTANCE,
    400: OrderAnswer.REFUSED,
}


class HttpEngineClient(EngineClient):
    """Requests reports from engine endpoints and sends them orders.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session whose connections are reused between calls.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)

    async def async_report(self, endpoint: Endpoint) -> EndpointReport:
        """Fetch the report of an endpoint."""
        peer = endpoint.record.id
        status, body = await self._async_call(endpoint, "GET", PATH_REPORT, None)
        if status != HTTP_OK:
            raise EndpointFailed(f"status {status}", step="report", peer=peer)
        return decode_report(peer, body)

    async def async_order(self, endpoint: Endpoint, order: Order) -> OrderAnswer:
        """Send an order to an endpoint and return its answer."""
        body = encode_order(order)
        status, _ = await self._async_call(endpoint, "POST", PATH_ORDER, body)
        answer = ORDER_ANSWERS.get(status)
        if answer is None:
            raise EndpointFailed(
                f"status {status}", step="order", peer=endpoint.record.id
            )
        return answer

    async def _async_call(
        self, endpoint: Endpoint, method: str, path: str, body: bytes | None
    ) -> tuple[int, bytes]:
        peer = endpoint.record.id
        headers = {HEADER_EXPECT_INSTANCE: peer}
        if body is not None:
            headers["Content-Type"] = "application/json"
        try:
            async with self._session.request(
                method,
                f"http://{endpoint.record.address}{path}",
                data=body,
                headers=headers,
                timeout=self._timeout,
                allow_redirects=False,
            ) as response:
                return response.status, await async_read_body(
                    response, MAX_CONTROL_BYTES
                )
        except aiohttp.ClientConnectorError as error:
            raise EndpointUnreachable(
                str(error), step="engine.connect", peer=peer
            ) from error
        except TimeoutError as error:
            message = "no response in time"
            raise EndpointSilent(message, step="engine.call", peer=peer) from error
        except (aiohttp.ClientError, OSError) as error:
            message = str(error) or type(error).__name__
            raise EndpointFailed(message, step="engine.call", peer=peer) from error
