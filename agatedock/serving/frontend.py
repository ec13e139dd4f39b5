"""HTTP server for clients."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging

from aiohttp import web

from agatedock import body_buffers
from agatedock import logs
from agatedock.decisions import client_limits
from agatedock.domain import configuration
from agatedock.serving import client_connections
from agatedock.serving import http_downstream
from agatedock.serving import open_connections

_log = logging.getLogger(__name__)

# Limits until the first configuration is applied.
DEFAULT_LIMITS = configuration.Limits(
    header_bytes=16 * 1024,
    body_bytes=1024 * 1024,
    header_timeout_s=10.0,
    idle_timeout_s=60.0,
)
_REQUEST_TIMEOUT = 408

HttpHandler = Callable[
    [web.BaseRequest, http_downstream.HttpDownstream], Awaitable[None]
]


class Frontend:
    """Accepts client connections with the limits of the configuration.

    Attributes:
      bodies: The bodies of all requests that are served at present.
      clients: The connections of clients.
    """

    def __init__(
        self,
        http_handler: HttpHandler,
        limits: client_limits.ClientLimits | None = None,
    ) -> None:
        """Creates a server that does not listen yet.

        Args:
          http_handler: Handles the requests.
          limits: What all clients together may make it hold; None for the
            defaults.
        """
        limits = limits or client_limits.ClientLimits()
        self._http_handler = http_handler
        self._limits = DEFAULT_LIMITS
        self.bodies = body_buffers.BodyBuffers(limits.bodies_bytes)
        self.clients = open_connections.OpenConnections(limits)
        self._servers: list[web.Server] = []
        self._listener: asyncio.Server | None = None
        self._close_after_response = False

    async def start(self, host: str, port: int) -> int:
        """Listens for clients; returns the port."""
        self._servers.append(self._make_server(DEFAULT_LIMITS))
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: self._servers[-1](), host, port, backlog=1024
        )
        return self._listener.sockets[0].getsockname()[1]

    def apply_limits(self, limits: configuration.Limits) -> None:
        """Applies limits to connections that are accepted from now on."""
        if limits == self._limits:
            return
        self._limits = limits
        self._servers = [
            server for server in self._servers if server.connections
        ]
        self._servers.append(self._make_server(limits))

    def disable_keepalive(self) -> None:
        """Closes each connection after its next response from now on."""
        self._close_after_response = True

    def close_idle_connections(self) -> None:
        """Closes the connections that wait for another request.

        A connection without any request so far stays open: a request may be
        in transit, and its client does not know yet that the router is
        draining.
        """
        for connection in self.list_idle_connections():
            connection.force_close()

    def list_idle_connections(self) -> list[open_connections.Connection]:
        """Returns the idle connections: those that wait for another request."""
        return self.clients.list_idle()

    def count_connections(self) -> int:
        """Returns the number of open connections."""
        return sum(len(server.connections) for server in self._servers)

    async def stop(self) -> None:
        """Stops listening and closes the remaining connections."""
        if self._listener is not None:
            self._listener.close()
        for server in self._servers:
            await server.shutdown(0.1)

    def _make_server(self, limits: configuration.Limits) -> web.Server:
        return client_connections.Server(self._handle, self.clients, limits)

    async def _handle(
        self, http_request: web.BaseRequest
    ) -> web.StreamResponse:
        connection = http_request.protocol
        assert isinstance(connection, client_connections.ClientConnection)
        if connection.transport is None:
            # It was closed when its request was read; nothing is sent.
            return web.Response(status=_REQUEST_TIMEOUT)
        buffer = self.bodies.open()
        client = http_downstream.HttpDownstream(
            http_request, lambda: self._close_after_response, buffer
        )
        try:
            await self._http_handler(http_request, client)
        except OSError:
            # The client has disconnected, which also cancelled its request.
            client.abort()
        except Exception as error:  # noqa: BLE001
            logs.event(_log, "internal_error", logging.ERROR, error=repr(error))
            _log.debug("traceback", exc_info=True)
            if client.response is None:
                await client.send_response(502, [], b"internal\n")
            else:
                client.abort()
        finally:
            buffer.close()
        connection.handle_response()
        return client.response or web.Response(status=502)
