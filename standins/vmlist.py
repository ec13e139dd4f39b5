"""Stand-in for the platform's VM list.

Entries are written over HTTP. Faults: `down`, and `lag_ms` (delay until a
write shows up in the list).
"""

from __future__ import annotations

import asyncio
import json

from aiohttp import web

from standins import runner


class VmTable:
    """VM entries as written and as published after the delay."""

    def __init__(self) -> None:
        self.faults = runner.Faults()
        self._entries: dict[str, dict] = {}
        self._published: dict[str, dict] = {}
        self._version = 0

    def make_app(self) -> web.Application:
        """Returns the application."""
        app = web.Application()
        app.router.add_get("/vms", self._list)
        app.router.add_put("/vms/{name}", self._put)
        app.router.add_delete("/vms/{name}", self._delete)
        runner.add_faults(app, self.faults)
        return app

    async def _list(self, request: web.Request) -> web.Response:
        if self.faults.get("down"):
            return web.Response(status=503)
        etag = f'"{self._version}"'
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304)
        return web.Response(
            text=json.dumps(list(self._published.values())),
            content_type="application/json",
            headers={"ETag": etag},
        )

    async def _put(self, request: web.Request) -> web.Response:
        self._entries[request.match_info["name"]] = await request.json()
        self._publish_later()
        return web.Response()

    async def _delete(self, request: web.Request) -> web.Response:
        self._entries.pop(request.match_info["name"], None)
        self._publish_later()
        return web.Response()

    def _publish_later(self) -> None:
        entries = dict(self._entries)
        lag_s = self.faults.get_number("lag_ms") / 1000
        if lag_s:
            asyncio.get_running_loop().call_later(lag_s, self._publish, entries)
        else:
            self._publish(entries)

    def _publish(self, entries: dict[str, dict]) -> None:
        self._published = entries
        self._version += 1


def main() -> None:
    """Runs the stand-in."""
    arguments = runner.make_parser("VM list").parse_args()
    runner.run(VmTable().make_app(), arguments)


if __name__ == "__main__":
    main()
