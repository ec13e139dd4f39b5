"""Requests to engines whose home is another router."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
import time
from typing import Protocol

import aiohttp
import msgspec

from agatedock import calls
from agatedock import enginecall
from agatedock import members
from agatedock import settings


class Stream(Protocol):
    """An open answer, from an engine or through its home.

    Attributes:
      engine: Name of the engine.
      cached_tokens: Prefix that the engine found in its cache.
    """

    engine: str
    cached_tokens: int

    def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yields what has arrived; raises aiohttp.ClientError on a cut."""

    def close(self) -> None:
        """Gives the stream up; does nothing once it has ended."""


class PeerStream:
    """An answer that another router relays."""

    def __init__(self, engine: str, response: aiohttp.ClientResponse):
        self.engine = engine
        self.cached_tokens = int(
            response.headers.get(enginecall.TOKENS_HEADER, 0)
        )
        self._response = response

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yields what has arrived; raises aiohttp.ClientError on a cut."""
        try:
            # Chunks that are already waiting come as one.
            while chunk := await self._response.content.readany():
                yield chunk
        finally:
            self.close()

    def close(self) -> None:
        """Gives the stream up; does nothing once it has ended."""
        self._response.close()


class Peers:
    """Client side of the relay between routers."""

    def __init__(
        self,
        own_name: str,
        client: aiohttp.ClientSession,
        limits: settings.Limits,
    ):
        self._silence_s = limits.upstream_silence_ms / 1000
        self._own_name = own_name
        self._client = client
        self._connect_s = limits.connect_timeout_ms / 1000

    def is_own(self, member: members.Member) -> bool:
        """Tells whether a member is this router."""
        return member.name == self._own_name

    async def open(
        self, owner: members.Member, call: calls.ChatCall
    ) -> PeerStream | calls.Verdict:
        """Asks the home of an engine to run a request."""
        now = time.monotonic()
        left_s = max(0.0, call.deadline - now)
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=self._connect_s,
            sock_read=left_s + self._silence_s,
        )
        try:
            response = await self._client.post(
                f"{_url(owner)}/peer/chat",
                data=call.body,
                headers={calls.CALL_HEADER: calls.encode_head(call, now)},
                timeout=timeout,
            )
            if response.status == 200:
                return PeerStream(call.engine, response)
            return await self._read_verdict(response)
        except aiohttp.ClientConnectorError as error:
            return _fail(call, f"home {owner.name} unreachable: {error}", True)
        except (
            aiohttp.ClientError,
            TimeoutError,
            msgspec.MsgspecError,
        ) as error:
            return _fail(call, f"home {owner.name}: {error!r}", False)

    async def _read_verdict(
        self, response: aiohttp.ClientResponse
    ) -> calls.Verdict:
        async with response:
            return calls.decode_verdict(await response.read())

    async def cancel(
        self, owner: members.Member, engine: str, request_id: str
    ) -> None:
        """Tells the home of an engine that the caller has left."""
        url = f"{_url(owner)}/peer/chat/{engine}/{request_id}"
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with asyncio.timeout(1.0):
                await self._client.delete(url, timeout=timeout)
        except (aiohttp.ClientError, TimeoutError):
            # The home itself notices the closed connection a little later.
            return


def _url(member: members.Member) -> str:
    return f"http://{member.item.host}:{member.item.peer_port}"


def _fail(call: calls.ChatCall, reason: str, not_run: bool) -> calls.Verdict:
    return calls.Verdict(
        calls.Outcome.FAILED, call.engine, reason, not_run=not_run
    )
