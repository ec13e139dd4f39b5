"""HTTP API for clients: chat completions, plain services, health, models."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
import json
from typing import Any

from aiohttp import web
import yarl

from agatedock import external
from agatedock.domain import requests
from agatedock.native import chat_downstreams
from agatedock.native import client_requests
from agatedock.native import idempotency
from agatedock.native import native_configuration
from agatedock.native import native_dialect
from agatedock.native import settings
from agatedock.serving import access_log
from agatedock.serving import authorization
from agatedock.serving import dialect
from agatedock.serving import downstream
from agatedock.serving import http_downstream
from agatedock.serving import reporter
from agatedock.serving import request_errors
from agatedock.serving import request_handler
from agatedock.serving import router as routers

CHAT_PATH = "/v1/chat/completions"
MODELS_PATH = "/v1/models"
HEALTH_PATH = "/health"
SERVICE_PREFIX = "/svc/"
_JSON_HEADERS = [("Content-Type", "application/json")]


class ClientApi:
    """Handles requests on the client port."""

    def __init__(
        self,
        limits: settings.Limits,
        kv: external.KeyValue,
        request_reporter: reporter.Reporter,
    ) -> None:
        self._limits = limits
        self._reporter = request_reporter
        self._idempotency = idempotency.IdempotencyHandler(
            kv, self._handle_request, request_reporter
        )
        self._in_flight: set[tuple[str, str]] = set()
        self._tasks: set[asyncio.Task[dialect.Response]] = set()
        # Set by app.RouterApp, since the router needs `serve` first.
        self.router: routers.Router

    async def serve(
        self, raw: web.BaseRequest, client: http_downstream.HttpDownstream
    ) -> None:
        """Serves one request; health and models need no account."""
        if raw.path == HEALTH_PATH:
            await self._send_health(client)
        elif raw.path == MODELS_PATH and raw.method == "GET":
            await self._send_models(client)
        else:
            await self._serve_request(raw, client)

    async def _send_health(
        self, client: http_downstream.HttpDownstream
    ) -> None:
        view = self.router.shared.configuration_view
        ready = not self.router.is_stopping and view.current is not None
        body = json.dumps({"ready": ready, "revision": view.revision})
        await client.send_response(
            200 if ready else 503, _JSON_HEADERS, body.encode()
        )

    async def _send_models(
        self, client: http_downstream.HttpDownstream
    ) -> None:
        current = self._find_configuration()
        models = current.document.models if current else ()
        model_list = [{"id": model.name, "object": "model"} for model in models]
        body = json.dumps({"object": "list", "data": model_list})
        await client.send_response(200, _JSON_HEADERS, body.encode())

    def _find_configuration(
        self,
    ) -> native_configuration.NativeConfiguration | None:
        current = self.router.shared.configuration_view.current
        assert current is None or isinstance(
            current, native_configuration.NativeConfiguration
        )
        return current

    async def _serve_request(
        self, raw: web.BaseRequest, client: http_downstream.HttpDownstream
    ) -> None:
        """Serves a request of an account, or sends an error response."""
        arrived_at = self.router.shared.now()
        request_id = ""
        try:
            client_headers = client_requests.read_client_headers(
                raw, self._find_configuration()
            )
            request_id = client_headers.request_id
            await self._serve_unless_duplicate(
                raw, client, client_headers, arrived_at
            )
        except request_errors.RequestError as request_error:
            response = native_dialect.make_error_response(
                request_id, request_error
            )
            entry = access_log.AccessLogEntry(request_id)
            entry.outcome = str(request_error.code)
            entry.status = response.status
            self._reporter.report(entry, arrived_at, self.router.shared.now())
            await client.send_response(
                response.status, response.headers, response.body
            )

    async def _serve_unless_duplicate(
        self,
        raw: web.BaseRequest,
        client: http_downstream.HttpDownstream,
        client_headers: client_requests.ClientHeaders,
        arrived_at: float,
    ) -> None:
        """Serves a request unless this router is serving one of the same id."""
        identity = (client_headers.account, client_headers.request_id)
        if identity in self._in_flight:
            raise request_errors.RequestError(
                request_errors.ErrorCode.DUPLICATE_REQUEST,
                f"request {client_headers.request_id!r} is in flight already",
            )
        self._in_flight.add(identity)
        try:
            if raw.path == CHAT_PATH and raw.method == "POST":
                await self._serve_chat(client, client_headers, arrived_at)
            elif raw.path.startswith(SERVICE_PREFIX):
                await self._serve_service(
                    raw, client, client_headers, arrived_at
                )
            else:
                raise request_errors.RequestError(
                    request_errors.ErrorCode.NO_ROUTE,
                    f"nothing at {raw.path!r}",
                )
        finally:
            self._in_flight.discard(identity)

    async def _serve_chat(
        self,
        client: http_downstream.HttpDownstream,
        client_headers: client_requests.ClientHeaders,
        arrived_at: float,
    ) -> None:
        chat_request = client_requests.parse_chat_request(
            await self._read_body(client)
        )
        current = self._require_configuration()
        request = client_requests.make_chat_request(
            client_headers, chat_request, current, arrived_at
        )
        body = client_requests.encode_engine_body(chat_request)
        downstream_type = (
            chat_downstreams.EventStreamDownstream
            if chat_request.stream
            else chat_downstreams.BufferingDownstream
        )
        await self._handle_request(
            request, downstream_type(client, request, body)
        )

    async def _serve_service(
        self,
        raw: web.BaseRequest,
        client: http_downstream.HttpDownstream,
        client_headers: client_requests.ClientHeaders,
        arrived_at: float,
    ) -> None:
        service_name, target = _split_target(raw)
        request = client_requests.make_service_request(
            client_headers, raw, service_name, target, arrived_at
        )
        current = self._require_configuration()
        route = current.find_route(request)
        if route is None or current.document.find_service(service_name) is None:
            raise request_errors.RequestError(
                request_errors.ErrorCode.UNKNOWN_SERVICE,
                f"no service {service_name!r}",
            )
        if route.is_idempotent:
            await self._handle_request(request, client)
            return
        body = await self._read_body(client)
        if client_headers.idempotency_key:
            ttl_ms = current.resolver.get(
                "claim_ttl_ms",
                account=client_headers.account,
                service=service_name,
            )
            coroutine = self._idempotency.send_with_key(
                request, client_headers.idempotency_key, route, ttl_ms, body
            )
        else:
            coroutine = self._idempotency.send_without_key(request, body)
        response = await self._finish_despite_disconnect(coroutine)
        await client.send_response(
            response.status, response.headers, response.body
        )

    async def _read_body(self, client: http_downstream.HttpDownstream) -> bytes:
        return await client.read_body(
            self._limits.body_max_bytes, self._limits.body_timeout_ms / 1000
        )

    def _require_configuration(
        self,
    ) -> native_configuration.NativeConfiguration:
        current = self._find_configuration()
        if current is None:
            raise request_errors.RequestError(
                request_errors.ErrorCode.NO_CONFIGURATION,
                retry_after_s=authorization.CONFIGURATION_RETRY_AFTER_S,
            )
        return current

    async def _handle_request(
        self, request: requests.Request, client: downstream.Downstream
    ) -> request_handler.RequestHandler:
        return await self.router.handle_request(request, client)

    async def _finish_despite_disconnect(
        self, coroutine: Coroutine[Any, Any, dialect.Response]
    ) -> dialect.Response:
        """Waits for a coroutine that continues if the client disconnects.

        The outcome of a request that was sent must be saved in its claim, and
        its response stored for repeated requests.
        """
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._discard_task)
        return await asyncio.shield(task)

    def _discard_task(self, task: asyncio.Task[dialect.Response]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # Retrieves the exception: asyncio would otherwise log it as never
            # retrieved when the client has disconnected.
            task.exception()

    def count_pending_requests(self) -> int:
        """Returns non-idempotent requests whose outcome is not yet known."""
        return len(self._tasks)


def _split_target(raw: web.BaseRequest) -> tuple[str, str]:
    """Returns the service name and the target (path and query) for it.

    The target keeps its percent-encoding.
    """
    url = yarl.URL(raw.raw_path, encoded=True)
    name, _, path = url.raw_path.removeprefix(SERVICE_PREFIX).partition("/")
    query = f"?{url.raw_query_string}" if url.raw_query_string else ""
    return name, f"/{path}{query}"
