"""Stand-in for a replica of a plain service.

Faults: `slow_ms`, `drop_answers` (a number of requests that run but whose
response is lost), `cut_answers` (a number of truncated responses),
`cross_answers` (a number of responses that carry the id of another request),
`draining`.
"""

from __future__ import annotations

import asyncio

from aiohttp import web

from standins import runner


class Replica:
    """Runs requests and records each of them."""

    def __init__(self, name: str):
        self.faults = runner.Faults()
        self._name = name
        self._runs: list[dict] = []

    def make_app(self) -> web.Application:
        """Returns the application."""
        app = web.Application()
        runner.add_faults(app, self.faults)
        app.router.add_get("/record", self._show_record)
        app.router.add_route("*", "/{path:.*}", self._serve)
        return app

    async def _show_record(self, _: web.Request) -> web.Response:
        return web.json_response(self._runs)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        body = await request.text()
        if self.faults.get("draining"):
            return web.Response(status=503, headers={"X-Draining": "1"})
        self._runs.append(
            {
                "method": request.method,
                "path": request.path,
                "body": body,
                "request_id": request.headers.get("X-Request-Id", ""),
                "account": request.headers.get("X-Client-Account", ""),
            }
        )
        await asyncio.sleep(self.faults.get_number("slow_ms") / 1000)
        if self.faults.consume("drop_answers"):
            return _abort(request)
        if self.faults.consume("cut_answers"):
            return await self._cut(request)
        echoed = request.headers.get("X-Request-Id", "")
        if self.faults.consume("cross_answers"):
            echoed = "of-another-request"
        return web.json_response(
            {"replica": self._name, "run": len(self._runs), "body": body},
            headers={"X-Request-Id": echoed},
        )

    async def _cut(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Length": "1000"})
        await response.prepare(request)
        await response.write(b"{")
        return _abort(request)


def _abort(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


def main() -> None:
    """Runs the stand-in."""
    arguments = runner.make_parser("plain service replica").parse_args()
    runner.run(Replica(arguments.name).make_app(), arguments)


if __name__ == "__main__":
    main()
