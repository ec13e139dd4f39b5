"""Sends requests to replicas over keep-alive or single-use connections."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import Any

import aiohttp
import multidict
import yarl

from agatedock import addresses
from agatedock import connections
from agatedock import logs
from agatedock.decisions import retries
from agatedock.serving import dialect
from agatedock.serving import early_closes

# A replica accepts a connection within milliseconds. A lost SYN packet is
# retransmitted only after 1 second, so waiting longer would not help.
CONNECT_TIMEOUT_S = 0.6
# Connections that were idle for longer are not reused: replicas close idle
# connections, and a request sent on a closed one has an unknown outcome.
KEEPALIVE_TIMEOUT_S = 2.0
# A cancel request that takes longer comes too late to save work.
CANCEL_TIMEOUT_S = 1.0
# Delays before a cancel is sent again if no response head has arrived yet. The
# first cancel goes over another connection and may overtake the request.
CANCEL_RETRY_DELAYS_S = (0.2, 0.8)

_log = logging.getLogger(__name__)


class AttemptError(Exception):
    """An attempt without a response head.

    Attributes:
      outcome: What is known about the request at the replica.
      close_reason: Why the router closed the connection; None if it did not.
      size_bytes: Bytes received until then, if known.
    """

    def __init__(
        self,
        outcome: retries.Outcome,
        cause: str,
        close_reason: early_closes.Reason | None = None,
        size_bytes: int = 0,
    ):
        self.outcome = outcome
        self.close_reason = close_reason
        self.size_bytes = size_bytes
        super().__init__(f"{outcome}: {cause}")


class _Response(aiohttp.ClientResponse):
    """Response that remembers its connection.

    A response without a body gives its connection back before it is returned.
    """

    _connection_protocol: Any = None

    async def start(self, connection: Any) -> aiohttp.ClientResponse:
        self._connection_protocol = connection.protocol
        return await super().start(connection)

    def get_connected_at(self) -> float:
        """Returns when the connection was opened, in seconds."""
        return self._connection_protocol.connected_at

    def record_work(self, elapsed_s: float, now: float) -> None:
        """Records time spent on what the replica has sent."""
        peer = self._connection_protocol.peer
        if peer is not None:
            peer.record_work(elapsed_s, now)

    def discard_connection(self) -> None:
        """Closes the connection, also if it was given back already."""
        if self._connection_protocol is not None:
            self._connection_protocol.force_close()
            self._connection_protocol.close()
        self.close()


class ReplicaClient:
    """HTTP client for all replicas."""

    def __init__(self) -> None:
        self._cancel_tasks: set[asyncio.Task[None]] = set()
        peers = connections.Peers()
        self._keepalive_session = _make_session(
            peers=peers, keepalive_timeout_s=KEEPALIVE_TIMEOUT_S
        )
        self._one_shot_session = _make_session(peers=peers, force_close=True)

    async def close(self) -> None:
        """Cancels pending cancel requests and closes all connections."""
        for task in self._cancel_tasks:
            task.cancel()
        await self._keepalive_session.close()
        await self._one_shot_session.close()

    async def send(
        self,
        address: str,
        method: str,
        target: str,
        headers: multidict.CIMultiDict[str],
        body: bytes,
        *,
        new_connection: bool,
        head_timeout_s: float | None,
    ) -> aiohttp.ClientResponse:
        """Sends one request and returns its response with the body unread.

        Args:
          address: `IP:PORT` of the replica.
          method: HTTP method.
          target: Path and query, sent as they are.
          headers: All headers except those of the connection.
          body: Complete body.
          new_connection: Whether to use a new connection, so that the request
            is not sent on a stale one.
          head_timeout_s: Timeout for the response head; None for no timeout.

        Raises:
          AttemptError: No response head arrived.
        """
        session = (
            self._one_shot_session
            if new_connection
            else self._keepalive_session
        )
        if addresses.split(address) is None:
            cause = f"invalid address {address!r}"
            raise AttemptError(retries.Outcome.NOT_SENT, cause)
        url = yarl.URL(f"http://{address}{target}", encoded=True)
        try:
            async with asyncio.timeout(head_timeout_s):
                return await session.request(
                    method,
                    url,
                    headers=headers,
                    data=body or None,
                    allow_redirects=False,
                )
        except (aiohttp.ClientError, OSError) as error:
            raise _make_attempt_error(error) from error

    async def read_next(self, response: aiohttp.ClientResponse) -> bytes:
        """Returns the next bytes of a body, as many as have arrived.

        Raises:
          aiohttp.ClientError: The body is incomplete.
        """
        content = response.content
        # Waiting takes no processing time, joining many short chunks does.
        first = await content.read(1)
        if not first:
            return b""
        began_at = time.monotonic()
        data = first + content.read_nowait()
        now = time.monotonic()
        self.record_work(response, now - began_at, now)
        return data

    def record_work(
        self, response: aiohttp.ClientResponse, elapsed_s: float, now: float
    ) -> None:
        """Records time spent on what a response's replica has sent.

        Args:
          response: The response.
          elapsed_s: Time spent in seconds.
          now: Present time of the event loop in seconds.
        """
        assert isinstance(response, _Response)
        response.record_work(elapsed_s, now)

    def get_connected_at(self, response: aiohttp.ClientResponse) -> float:
        """Returns when a response's connection was opened, in seconds."""
        assert isinstance(response, _Response)
        return response.get_connected_at()

    def discard_connection(self, response: aiohttp.ClientResponse) -> None:
        """Closes the connection of a response that belongs to no request.

        Another response may follow it, for which the next request on the
        connection would have to wait.
        """
        assert isinstance(response, _Response)
        response.discard_connection()

    def count_idle_connections(self) -> int:
        """Returns the number of connections that wait for a request."""
        connector = self._keepalive_session.connector
        assert connector is not None
        # aiohttp has no public way to list them.
        pools = connector._conns.values()  # noqa: SLF001
        return sum(
            protocol.is_connected() for pool in pools for protocol, _ in pool
        )

    def cancel(
        self,
        address: str,
        cancel: dialect.CancelRequest | None,
        *,
        head_received: bool,
    ) -> None:
        """Cancels a request at a replica, in the background.

        Args:
          address: `IP:PORT` of the replica.
          cancel: The cancel request; None if closing the connection is enough.
          head_received: Whether the response head has arrived, so that the
            replica is known to have received the request.
        """
        if cancel is None:
            return
        delays_s = () if head_received else CANCEL_RETRY_DELAYS_S
        task = asyncio.create_task(
            self._send_cancels(address, cancel, delays_s)
        )
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)

    async def _send_cancels(
        self,
        address: str,
        cancel: dialect.CancelRequest,
        delays_s: tuple[float, ...],
    ) -> None:
        await self._send_cancel(address, cancel)
        for delay_s in delays_s:
            await asyncio.sleep(delay_s)
            await self._send_cancel(address, cancel)

    async def _send_cancel(
        self, address: str, cancel: dialect.CancelRequest
    ) -> None:
        try:
            response = await self.send(
                address,
                cancel.method,
                cancel.target,
                cancel.headers,
                b"",
                new_connection=False,
                head_timeout_s=CANCEL_TIMEOUT_S,
            )
        except AttemptError as error:
            # Replicas drop requests without a client on their own, only later.
            logs.event(_log, "cancel_lost", replica=address, cause=str(error))
            return
        response.release()


def _make_attempt_error(error: Exception) -> AttemptError:
    """Returns what an error says of a request at its replica.

    Args:
      error: An error of the HTTP client, or a TimeoutError, which is an
        OSError.
    """
    if isinstance(
        error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError
    ):
        return AttemptError(retries.Outcome.NOT_SENT, str(error))
    if isinstance(error, TimeoutError):
        return AttemptError(retries.Outcome.TIMED_OUT, "no response")
    if isinstance(error, connections.TooManyHeadsError):
        return AttemptError(
            retries.Outcome.BROKEN,
            str(error),
            early_closes.Reason.NO_FINAL_HEAD,
            error.size_bytes,
        )
    if isinstance(error, aiohttp.ClientResponseError):
        return AttemptError(
            retries.Outcome.BROKEN,
            repr(error),
            early_closes.Reason.INVALID_HEAD,
        )
    return AttemptError(retries.Outcome.BROKEN, repr(error))


def _make_session(**options: Any) -> aiohttp.ClientSession:
    session = connections.make_session(
        response_class=_Response,
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
        skip_auto_headers=(
            "Accept",
            "Accept-Encoding",
            "Content-Type",
            "User-Agent",
        ),
        **options,
    )
    # Without this, aiohttp retries idempotent methods by itself, outside of the
    # retry budget. There is no public switch for it.
    session._retry_connection = False  # noqa: SLF001
    return session
