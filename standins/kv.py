"""Stand-in for the platform's key-value service.

Faults: `down` (every connection is aborted), `slow_ms`, `lose_answers` (a
number of writes that take effect but whose response is lost), `drop_writes` (a
number of writes that neither take effect nor get a response).
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import time

from aiohttp import web

from standins import runner


@dataclasses.dataclass
class Value:
    """A stored value; `expires_at` is monotonic time in seconds."""

    data: bytes
    version: int
    expires_at: float


class Store:
    """Key-value store with versions, TTLs and call counters."""

    def __init__(self) -> None:
        self.faults = runner.Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._values: dict[str, Value] = {}
        self._backup: dict[str, Value] = {}
        self._version = 0

    def make_app(self) -> web.Application:
        """Returns the application."""
        app = web.Application(client_max_size=1 << 20)
        app.router.add_get("/kv", self._list)
        app.router.add_get("/kv/{key:.+}", self._get)
        app.router.add_put("/kv/{key:.+}", self._put)
        app.router.add_post("/save", self._save)
        app.router.add_post("/restore", self._restore)
        app.router.add_get("/record", self._show_record)
        runner.add_faults(app, self.faults)
        return app

    async def _apply_faults(self, request: web.Request) -> None:
        """Applies the faults that affect every call."""
        await asyncio.sleep(self.faults.get_number("slow_ms") / 1000)
        if self.faults.get("down"):
            if request.transport is not None:
                request.transport.abort()
            raise web.HTTPServiceUnavailable()

    def _get_unexpired(self, key: str) -> Value | None:
        value = self._values.get(key)
        if value is not None and time.monotonic() >= value.expires_at:
            del self._values[key]
            return None
        return value

    async def _list(self, request: web.Request) -> web.Response:
        self.calls["list"] += 1
        await self._apply_faults(request)
        prefix = request.query.get("prefix", "")
        keys = [k for k in sorted(self._values) if k.startswith(prefix)]
        return web.Response(
            text="\n".join(k for k in keys if self._get_unexpired(k))
        )

    async def _get(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        self.calls["get"] += 1
        await self._apply_faults(request)
        return _respond(self._get_unexpired(key))

    async def _put(self, request: web.Request) -> web.Response:
        self.calls["put"] += 1
        data = await request.read()
        await self._apply_faults(request)
        if self.faults.consume("drop_writes"):
            return self._abort(request)
        key = request.match_info["key"]
        current = self._get_unexpired(key)
        version = current.version if current else 0
        if version != int(request.query["expected"]):
            return web.Response(status=409)
        ttl_ms = int(request.query.get("ttl_ms", 0))
        expires_at = (
            time.monotonic() + ttl_ms / 1000 if ttl_ms else float("inf")
        )
        self._version += 1
        self._values[key] = Value(data, self._version, expires_at)
        if self.faults.consume("lose_answers"):
            return self._abort(request)
        return web.Response(text=str(self._version))

    def _abort(self, request: web.Request) -> web.Response:
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=500)

    async def _save(self, _: web.Request) -> web.Response:
        self._backup = dict(self._values)
        return web.Response()

    async def _restore(self, _: web.Request) -> web.Response:
        """Replaces the state by the saved one, like restoring a backup."""
        self._values = dict(self._backup)
        return web.Response()

    async def _show_record(self, _: web.Request) -> web.Response:
        return web.json_response({"calls": self.calls})


def _respond(value: Value | None) -> web.Response:
    if value is None:
        return web.Response(status=404)
    return web.Response(
        body=value.data, headers={"X-Version": str(value.version)}
    )


def main() -> None:
    """Runs the stand-in."""
    arguments = runner.make_parser("key-value service").parse_args()
    runner.run(Store().make_app(), arguments)


if __name__ == "__main__":
    main()
