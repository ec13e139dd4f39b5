"""HTTP servers of a router: one for callers, one for peers and operators."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import logging
import time

import aiohttp
from aiohttp import web
import msgspec

from agatedock import calls
from agatedock import chat
from agatedock import enginecall
from agatedock import errors
from agatedock import explain
from agatedock import fleet
from agatedock import home
from agatedock import intake
from agatedock import logs
from agatedock import metrics
from agatedock import plain
from agatedock import settings
from agatedock import view

_log = logging.getLogger(__name__)

_Serve = Callable[
    [web.Request, intake.Caller, bytes], Awaitable[web.StreamResponse]
]


class CallerServer:
    """Takes callers' requests and turns refusals into answers.

    Attributes:
      stopping: True once the router is leaving the fleet.
    """

    def __init__(
        self,
        limits: settings.Limits,
        in_force: view.View,
        chats: chat.ChatRoute,
        plains: plain.PlainRoute,
        figures: metrics.Metrics,
    ):
        self.stopping = False
        self._limits = limits
        self._view = in_force
        self._chats = chats
        self._plains = plains
        self._metrics = figures
        self._in_flight: set[tuple[str, str]] = set()

    def make_app(self) -> web.Application:
        """Returns the application for callers."""
        app = web.Application(client_max_size=self._limits.body_max_bytes)
        app.router.add_post("/v1/chat/completions", self._serve_chat)
        app.router.add_get("/v1/models", self._list_models)
        app.router.add_route("*", "/svc/{service}/{path:.*}", self._serve_plain)
        app.router.add_get("/health", self._check_health)
        app.on_response_prepare.append(self._close_when_stopping)
        return app

    async def _close_when_stopping(
        self, _: web.Request, response: web.StreamResponse
    ) -> None:
        """Ends kept-alive connections, so that callers go elsewhere."""
        if self.stopping:
            response.force_close()

    def count_work(self) -> int:
        """Returns the requests in flight."""
        return len(self._in_flight)

    async def _check_health(self, _: web.Request) -> web.Response:
        ready = not self.stopping and self._view.revision > 0
        return web.json_response(
            {"ready": ready, "revision": self._view.revision},
            status=200 if ready else 503,
        )

    async def _list_models(self, _: web.Request) -> web.Response:
        rows = [
            {"id": model.name, "object": "model"}
            for model in self._view.document.models
        ]
        return web.json_response({"object": "list", "data": rows})

    async def _serve_chat(self, request: web.Request) -> web.StreamResponse:
        return await self._serve("chat", self._chats.serve, request)

    async def _serve_plain(self, request: web.Request) -> web.StreamResponse:
        return await self._serve("plain", self._plains.serve, request)

    async def _serve(
        self, kind: str, serve: _Serve, request: web.Request
    ) -> web.StreamResponse:
        """Checks a request, serves it and logs one line about it."""
        started = time.monotonic()
        code = "ok"
        caller = None
        try:
            caller = intake.identify(request, self._view.document)
            data = await intake.read_body(request, self._limits)
            response = await self._serve_once(serve, request, caller, data)
        except errors.Refusal as refusal:
            code = str(refusal.code)
            response = _refuse(refusal, caller)
        except (asyncio.CancelledError, ConnectionError):
            code = "caller_left"
            raise
        except Exception as error:  # noqa: BLE001
            code = str(errors.Code.INTERNAL)
            _log.exception({"event": "request_failed"})
            failure = errors.Refusal(
                errors.Code.INTERNAL, f"fault: {error!r}", not_run=False
            )
            response = _refuse(failure, caller)
        finally:
            elapsed_ms = int((time.monotonic() - started) * 1000)
            self._metrics.requests.inc({"kind": kind, "code": code})
            logs.event(
                _log,
                "request",
                kind=kind,
                code=code,
                request_id=caller.request_id if caller else "",
                account=caller.account if caller else "",
                elapsed_ms=elapsed_ms,
            )
        return response

    async def _serve_once(
        self,
        serve: _Serve,
        request: web.Request,
        caller: intake.Caller,
        data: bytes,
    ) -> web.StreamResponse:
        """Serves a request unless one of the same id is in flight here."""
        identity = (caller.account, caller.request_id)
        if identity in self._in_flight:
            raise errors.Refusal(
                errors.Code.DUPLICATE_REQUEST,
                f"request {caller.request_id!r} is in flight already",
            )
        self._in_flight.add(identity)
        try:
            return await serve(request, caller, data)
        finally:
            self._in_flight.discard(identity)


def _refuse(
    refusal: errors.Refusal, caller: intake.Caller | None
) -> web.Response:
    request_id = caller.request_id if caller else ""
    headers = {intake.REQUEST_HEADER: request_id} if request_id else {}
    if refusal.retry_after_ms is not None:
        # The header counts whole seconds; the body has milliseconds.
        seconds = -(-refusal.retry_after_ms // 1000)
        headers["Retry-After"] = str(seconds)
    return web.json_response(
        refusal.describe(request_id),
        status=refusal.http_status,
        headers=headers,
    )


class PeerServer:
    """Takes requests of other routers and of operators."""

    def __init__(
        self,
        own_home: home.Home,
        in_force: view.View,
        records: explain.Records,
        figures: metrics.Metrics,
        take_document: Callable[[fleet.Document, str], view.Offer],
        dump: Callable[[], dict],
    ):
        self._home = own_home
        self._view = in_force
        self._records = records
        self._metrics = figures
        self._take_document = take_document
        self._dump = dump

    def make_app(self, body_max_bytes: int) -> web.Application:
        """Returns the application for peers and operators."""
        app = web.Application(client_max_size=body_max_bytes)
        app.router.add_post("/peer/chat", self._relay_chat)
        app.router.add_delete("/peer/chat/{engine}/{id}", self._cancel_chat)
        app.router.add_get("/dump", self._show_dump)
        app.router.add_get("/explain/{id}", self._explain)
        app.router.add_get("/config", self._show_config)
        app.router.add_post("/config", self._offer_config)
        app.router.add_get("/metrics", self._show_metrics)
        return app

    async def _relay_chat(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        try:
            call = calls.decode_call(
                request.headers.get(calls.CALL_HEADER, ""),
                body,
                time.monotonic(),
            )
        except calls.BadCall as error:
            return web.Response(status=400, text=str(error))
        opened = await self._home.open(call)
        if isinstance(opened, calls.Verdict):
            return web.Response(status=409, body=calls.encode_verdict(opened))
        response = web.StreamResponse(
            headers={
                **chat.SSE_HEADERS,
                enginecall.TOKENS_HEADER: str(opened.cached_tokens),
            }
        )
        return await _pipe(request, response, opened)

    async def _cancel_chat(self, request: web.Request) -> web.Response:
        info = request.match_info
        await self._home.cancel(info["engine"], info["id"])
        return web.Response(status=204)

    async def _show_dump(self, _: web.Request) -> web.Response:
        return web.json_response(self._dump())

    async def _explain(self, request: web.Request) -> web.Response:
        steps = self._records.get(request.match_info["id"])
        return web.Response(
            body=msgspec.json.encode(steps), content_type="application/json"
        )

    async def _show_config(self, _: web.Request) -> web.Response:
        return web.Response(
            body=fleet.encode(self._view.document),
            content_type="application/json",
        )

    async def _offer_config(self, request: web.Request) -> web.Response:
        try:
            document = fleet.decode(await request.read())
        except ValueError as error:
            return web.Response(status=400, text=str(error))
        outcome = self._take_document(document, "operator")
        return web.Response(
            text=json.dumps({"outcome": outcome.value}),
            content_type="application/json",
        )

    async def _show_metrics(self, request: web.Request) -> web.Response:
        for name, value in _flatten(self._dump()):
            self._metrics.set_gauge(f"agatedock_{name}", value)
        return self._metrics.render(request.headers.getall("Accept", []))


async def _pipe(
    request: web.Request,
    response: web.StreamResponse,
    stream: enginecall.EngineStream,
) -> web.StreamResponse:
    """Relays a stream; a cut of either side cuts the other."""
    try:
        await response.prepare(request)
        async with contextlib.aclosing(stream.chunks()) as chunks:
            async for chunk in chunks:
                await response.write(chunk)
        await response.write_eof()
    except (aiohttp.ClientError, TimeoutError) as error:
        logs.event(
            _log,
            "relay_cut",
            logging.WARNING,
            upstream=stream.engine,
            problem=repr(error),
        )
        # Closing without the final chunk tells the entry router of the cut.
        if request.transport is not None:
            request.transport.abort()
    finally:
        stream.close()
    return response


def _flatten(dump: dict) -> list[tuple[str, float]]:
    """Returns the numbers of the sections that are meant as figures."""
    rows = []
    for section in ("control", "work", "config"):
        for key, value in dump.get(section, {}).items():
            if isinstance(value, (int, float)):
                rows.append((f"{section}_{key}", float(value)))
    return rows
