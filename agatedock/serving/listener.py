"""HTTP listener for short requests such as health probes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web


class Listener:
    """Serves all requests on one address with one handler."""

    def __init__(
        self, handler: Callable[[web.BaseRequest], Awaitable[web.Response]]
    ):
        self._handler = handler
        self._listener: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Listens on an address; returns the port."""
        server = web.Server(self._handle, access_log=None)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(server, host, port)
        return self._listener.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stops listening."""
        if self._listener is not None:
            self._listener.close()

    async def _handle(self, http_request: web.BaseRequest) -> web.Response:
        return await self._handler(http_request)
