"""HTTP listener for peers, operators and health probes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import aiohttp
from aiohttp import web

from agatedock import body_buffers
from agatedock.decisions import client_limits
from agatedock.domain import configuration
from agatedock.serving import client_connections
from agatedock.serving import open_connections

# Limits on single requests.
LIMITS = configuration.Limits(
    header_bytes=8 * 1024,
    body_bytes=4 * 1024 * 1024,
    header_timeout_s=10.0,
    idle_timeout_s=60.0,
)
BODY_TIMEOUT_S = 10.0
# A response that its client does not read is given up.
RESPONSE_TIMEOUT_S = 10.0
_RETRY_AFTER = {"Retry-After": "1"}
_BAD_REQUEST = 400
_REQUEST_TIMEOUT = 408
_TOO_LARGE = 413
_UNAVAILABLE = 503

# Returns the response to a request and its body.
Handler = Callable[[web.BaseRequest, bytes], Awaitable[web.Response]]


class Listener:
    """Serves all requests on one address with one handler.

    Attributes:
      clients: Its open connections.
      bodies: The bodies of all requests that it serves at present.
    """

    def __init__(
        self, handler: Handler, limits: client_limits.ClientLimits
    ) -> None:
        """Creates a listener that does not listen yet.

        Args:
          handler: Handles the requests.
          limits: What all clients together may make it hold.
        """
        self._handler = handler
        self._listener: asyncio.Server | None = None
        self.clients = open_connections.OpenConnections(limits)
        self.bodies = body_buffers.BodyBuffers(limits.bodies_bytes)

    async def start(self, host: str, port: int) -> int:
        """Listens on an address; returns the port."""
        server = client_connections.Server(self._handle, self.clients, LIMITS)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(server, host, port)
        return self._listener.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stops listening."""
        if self._listener is not None:
            self._listener.close()

    async def _handle(self, http_request: web.BaseRequest) -> web.Response:
        connection = http_request.protocol
        assert isinstance(connection, client_connections.ClientConnection)
        buffer = self.bodies.open()
        try:
            response = await self._respond(http_request, connection, buffer)
            if not http_request.content.is_eof():
                response.force_close()
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await response.prepare(http_request)
                await response.write_eof()
        except TimeoutError:
            connection.abort()
            response = web.Response(status=_REQUEST_TIMEOUT)
        finally:
            buffer.close()
            connection.handle_response()
        return response

    async def _respond(
        self,
        http_request: web.BaseRequest,
        connection: client_connections.ClientConnection,
        buffer: body_buffers.Buffer,
    ) -> web.Response:
        """Returns the response of the handler, or why a body is refused."""
        if not http_request.body_exists:
            return await self._handler(http_request, b"")
        connection.read_body()
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                body = await body_buffers.read_buffered(
                    http_request.content.readany,
                    LIMITS.body_bytes,
                    buffer,
                    client_connections.PENDING_MAX_BYTES,
                )
        except body_buffers.BodyTooLargeError:
            return web.Response(status=_TOO_LARGE)
        except body_buffers.BuffersFullError:
            return web.Response(status=_UNAVAILABLE, headers=_RETRY_AFTER)
        except TimeoutError:
            return web.Response(status=_REQUEST_TIMEOUT)
        except (web.RequestPayloadError, aiohttp.ClientError):
            return web.Response(status=_BAD_REQUEST)
        return await self._handler(http_request, body)
