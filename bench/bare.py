"""Minimal relay with the same HTTP library, as a baseline for a router."""

from __future__ import annotations

import aiohttp
from aiohttp import web

from standins import runner


class Relay:
    """Forwards every request to one engine and streams the response back."""

    def __init__(self, target: str):
        self._target = target

    def make_app(self) -> web.Application:
        """Returns the application."""
        app = web.Application(client_max_size=8 << 20)
        app.router.add_post("/v1/chat/completions", self._serve)
        app.cleanup_ctx.append(self._open_client)
        return app

    async def _open_client(self, _: web.Application):
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as client:
            self._client = client
            yield

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        async with self._client.post(
            f"{self._target}/v1/chat/completions",
            data=await request.read(),
            headers={"X-Request-Id": request.headers["X-Request-Id"]},
        ) as upstream_response:
            response = web.StreamResponse()
            await response.prepare(request)
            while chunk := await upstream_response.content.readany():
                await response.write(chunk)
            await response.write_eof()
            return response


def main() -> None:
    """Runs the relay."""
    parser = runner.make_parser("bare relay")
    parser.add_argument("--target", required=True)
    arguments = parser.parse_args()
    runner.run(Relay(arguments.target).make_app(), arguments)


if __name__ == "__main__":
    main()
