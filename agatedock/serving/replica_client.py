"""Sends requests to replicas over connections that are kept or used once."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import aiohttp
from aiohttp import client_proto
import multidict
import yarl

from agatedock import logs
from agatedock.decisions import retries
from agatedock.serving import dialect

# Time to establish a connection; a replica answers within milliseconds, and a
# lost first packet is repeated after a second.
CONNECT_TIMEOUT_S = 0.6
# A kept connection is not used after this idle time: replicas close idle
# connections, and what is sent on a closed one has an unknown outcome.
KEEPALIVE_TIMEOUT_S = 2.0
HEAD_MAX_BYTES = 32 * 1024
# A cancel that takes longer has come too late.
CANCEL_TIMEOUT_S = 1.0
# Pauses before further cancels of a request that was not answered yet: the
# first may overtake it, as it goes over another connection.
CANCEL_RETRY_DELAYS_S = (0.2, 0.8)

_log = logging.getLogger(__name__)


class AttemptError(Exception):
    """A send that brought no answer.

    Attributes:
      outcome: What may be concluded about the request.
    """

    def __init__(self, outcome: retries.Outcome, cause: str):
        self.outcome = outcome
        super().__init__(f"{outcome}: {cause}")


class _ResponseHandler(client_proto.ResponseHandler):
    """Connection that takes a reset for an incomplete answer.

    The library ends a body without a length at any end of the connection.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(str(exc)))
        super().connection_lost(exc)


class ReplicaClient:
    """Connections to all replicas."""

    def __init__(self) -> None:
        self._cancel_tasks: set[asyncio.Task[None]] = set()
        self._keepalive_session = _make_session(
            keepalive_timeout=KEEPALIVE_TIMEOUT_S
        )
        self._one_shot_session = _make_session(force_close=True)

    async def close(self) -> None:
        """Closes all connections."""
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
        """Sends one request and returns the head of its answer.

        Args:
          address: `IP:PORT` of the replica.
          method: HTTP method.
          target: Path and query, sent exactly so.
          headers: All headers but those of the connection.
          body: Whole body.
          new_connection: Use a new connection, so that nothing is sent on a
            stale one.
          head_timeout_s: How long to wait for the head; None without limit.

        Raises:
          AttemptError: No head of an answer arrived.
        """
        session = (
            self._one_shot_session
            if new_connection
            else self._keepalive_session
        )
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
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise AttemptError(retries.Outcome.NOT_SENT, str(error)) from error
        except TimeoutError as error:
            raise AttemptError(retries.Outcome.SILENT, "no answer") from error
        except (aiohttp.ClientError, OSError) as error:
            raise AttemptError(retries.Outcome.BROKEN, repr(error)) from error

    def cancel(
        self,
        address: str,
        cancel: dialect.CancelRequest | None,
        *,
        head_received: bool,
    ) -> None:
        """Tells a replica that nobody waits for an answer any more.

        Args:
          address: `IP:PORT` of the replica.
          cancel: What to send; None if the connection's end is enough.
          head_received: The replica is known to have taken the request up.
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
            # Replicas drop work that nobody reads by themselves, only later.
            logs.event(_log, "cancel_lost", replica=address, cause=str(error))
            return
        response.release()


def _make_session(**options: Any) -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(limit=0, **options)
    loop = asyncio.get_running_loop()
    # The library offers no public way to give it a connection class.
    connector._factory = lambda: _ResponseHandler(loop)  # type: ignore[assignment]  # noqa: SLF001
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
        max_line_size=HEAD_MAX_BYTES,
        max_field_size=HEAD_MAX_BYTES,
        skip_auto_headers=(
            "Accept",
            "Accept-Encoding",
            "Content-Type",
            "User-Agent",
        ),
    )
    # No public switch either: idempotent methods would be sent twice, outside
    # of the budget of repeats.
    session._retry_connection = False  # noqa: SLF001
    return session
