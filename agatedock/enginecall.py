"""Requests of a home to its engines."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from collections.abc import Callable

import aiohttp

from agatedock import answers
from agatedock import calls
from agatedock import gate
from agatedock import settings

TOKENS_HEADER = "X-Cached-Tokens"
STREAM_HEADER = "X-Stream-Id"
DRAINING_HEADER = "X-Draining"
CANCEL_TIMEOUT_S = 1.0


class Failed(Exception):  # noqa: N818
    """An engine did not take a request.

    Attributes:
      not_run: True only if it certainly did not run.
      draining: True if the engine said that it is leaving.
    """

    def __init__(self, reason: str, *, not_run: bool, draining: bool = False):
        self.not_run = not_run
        self.draining = draining
        super().__init__(reason)


class EngineStream:
    """An open answer of an engine.

    Attributes:
      engine: Name of the engine.
      cached_tokens: Prefix that the engine found in its cache.
    """

    def __init__(
        self,
        call: calls.ChatCall,
        run: gate.Run,
        response: aiohttp.ClientResponse,
        on_end: Callable[[int, bool], None],
    ):
        self.engine = call.engine
        self.cached_tokens = int(response.headers.get(TOKENS_HEADER, 0))
        self._run = run
        self._response = response
        self._on_end = on_end
        self._closed = False

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yields what has arrived; raises aiohttp.ClientError on a cut."""
        ended = False
        events = 0
        try:
            # Chunks that are already waiting come as one.
            while chunk := await self._response.content.readany():
                events += chunk.count(answers.EVENT_END)
                yield chunk
            ended = True
            if self._run.preempted:
                yield answers.PREEMPTED_EVENT + answers.EVENT_END
        finally:
            # The last event and the end mark carry no token.
            self._end(max(0, events - 2), ended)

    def close(self) -> None:
        """Gives the stream up, also if it was never read."""
        self._end(0, False)

    def _end(self, tokens: int, ended: bool) -> None:
        if not self._closed:
            self._closed = True
            self._on_end(tokens, ended)
            self._response.close()


class EngineClient:
    """Opens and cancels requests on engines."""

    def __init__(self, client: aiohttp.ClientSession, limits: settings.Limits):
        self._client = client
        self._timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=limits.connect_timeout_ms / 1000,
            sock_read=limits.upstream_silence_ms / 1000,
        )

    async def open(
        self, url: str, call: calls.ChatCall, stream_id: str
    ) -> aiohttp.ClientResponse:
        """Sends a request.

        Args:
          url: Base URL of the engine.
          call: The request.
          stream_id: Names this connection, so that a late cancel of an
            earlier one does not stop it.

        Raises:
          Failed: The engine did not take it.
        """
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": call.request_id,
            "X-Priority": str(call.rank),
            "X-Prefix-Key": call.chat,
            "X-Resume-Offset": str(call.offset),
            STREAM_HEADER: stream_id,
        }
        try:
            response = await self._client.post(
                f"{url}/v1/chat/completions",
                data=call.body,
                headers=headers,
                timeout=self._timeout,
            )
        except aiohttp.ClientConnectorError as error:
            raise Failed(f"no connection: {error}", not_run=True) from None
        except (aiohttp.ClientError, TimeoutError) as error:
            raise Failed(f"no answer: {error!r}", not_run=False) from None
        if response.status != 200:
            response.close()
            raise Failed(
                f"status {response.status}",
                not_run=True,
                draining=DRAINING_HEADER in response.headers,
            )
        return response

    async def cancel(self, url: str, request_id: str, stream_id: str) -> None:
        """Orders a cancel; a stream id limits it to that connection."""
        try:
            async with self._client.delete(
                f"{url}/v1/requests/{request_id}",
                headers={STREAM_HEADER: stream_id},
                timeout=aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S),
            ):
                return
        except (aiohttp.ClientError, TimeoutError):
            # The engine drops silent streams by itself.
            return
