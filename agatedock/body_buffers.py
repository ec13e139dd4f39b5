"""Reads message bodies with limits on each of them and on their sum."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import aiohttp

from agatedock import clock
from agatedock.decisions import client_limits

# Shorter pieces of a body are put together.
BLOCK_MIN_BYTES = 16 * 1024


class BodyTooLargeError(aiohttp.ClientPayloadError):
    """A body exceeds its limit; the rest of it was not read."""


class BuffersFullError(Exception):
    """A body was dropped, as all buffered bodies together exceed the limit."""


class BodyBuffers:
    """Limits the bytes of the bodies that a process buffers at the same time.

    If they exceed the limit, a body that is still arriving is dropped: one that
    is stalled, else the largest. Many sound bodies are short, and one that is
    far longer is the most likely to have no end.

    Attributes:
      held_bytes: Bytes of all bodies at present.
    """

    def __init__(
        self,
        limit_bytes: int,
        now: Callable[[], float] = clock.read_steady_s,
    ) -> None:
        """Starts without bodies.

        Args:
          limit_bytes: Bytes of all bodies together.
          now: Returns the present time in seconds.
        """
        self._limit_bytes = limit_bytes
        self._now = now
        self._arriving: set[Buffer] = set()
        self.held_bytes = 0

    def set_limit(self, limit_bytes: int) -> None:
        """Sets the limit; it applies when the next bytes arrive."""
        self._limit_bytes = limit_bytes

    def open(self) -> Buffer:
        """Returns an empty buffer, which its user closes."""
        return Buffer(self)

    def resize(self, buffer: Buffer, size_bytes: int) -> None:
        """Sets the size of a buffer, and drops others if it has to.

        Raises:
          BuffersFullError: The limit is exceeded, and no other body has to
            make room.
        """
        now = self._now()
        self.held_bytes += size_bytes - buffer.size_bytes
        buffer.size_bytes = size_bytes
        buffer.progress_at = now
        while self.held_bytes > self._limit_bytes:
            dropped = self._choose_dropped(buffer, now)
            if dropped is None:
                raise BuffersFullError(
                    f"buffered bodies exceed {self._limit_bytes} bytes"
                )
            dropped.drop()

    def _choose_dropped(self, buffer: Buffer, now: float) -> Buffer | None:
        """Returns the body that makes room for another one, if one has to.

        It is stalled, or larger than the other one.
        """
        dropped = client_limits.choose_dropped(self._arriving, now)
        if dropped is None or dropped is buffer:
            return None
        is_larger = dropped.size_bytes > buffer.size_bytes
        if is_larger or client_limits.is_stalled(dropped, now):
            return dropped
        return None

    def begin(self, buffer: Buffer) -> None:
        """Records that the body of a buffer is arriving."""
        self._arriving.add(buffer)

    def end(self, buffer: Buffer) -> None:
        """Records that the body of a buffer is no longer arriving."""
        self._arriving.discard(buffer)


class Buffer:
    """Counts the bytes that are buffered for one message.

    Attributes:
      size_bytes: Bytes held at present.
      progress_at: When its last bytes arrived, in seconds.
      is_dropped: Whether its body had to make room for others.
    """

    def __init__(self, buffers: BodyBuffers) -> None:
        self._buffers = buffers
        self._timeout: asyncio.Timeout | None = None
        self.size_bytes = 0
        self.progress_at = float("-inf")
        self.is_dropped = False

    def begin(self, timeout: asyncio.Timeout) -> None:
        """Records that the body is arriving.

        Args:
          timeout: Expires at once if the body is dropped.
        """
        self._timeout = timeout
        self.is_dropped = False
        self._buffers.begin(self)

    def end(self) -> None:
        """Records that the body is complete, or was given up."""
        self._timeout = None
        self._buffers.end(self)

    def resize(self, size_bytes: int) -> None:
        """Sets the number of bytes held.

        Raises:
          BuffersFullError: They would exceed the limit on all buffers, or the
            body was dropped.
        """
        if self.is_dropped and size_bytes:
            raise BuffersFullError("dropped for other bodies")
        self._buffers.resize(self, size_bytes)

    def drop(self) -> None:
        """Ends the reading of the body and counts none of its bytes."""
        timeout = self._timeout
        assert timeout is not None
        self.is_dropped = True
        self.end()
        self.resize(0)
        timeout.reschedule(asyncio.get_running_loop().time())

    def close(self) -> None:
        """Counts none of the bytes any more."""
        self.end()
        self.resize(0)


async def read(content: aiohttp.StreamReader, limit_bytes: int) -> bytes:
    """Returns a complete body.

    Raises:
      BodyTooLargeError: It exceeds its limit.
      aiohttp.ClientError: It is incomplete.
    """
    chunks: list[bytes] = []
    size_bytes = 0
    async for chunk in content.iter_any():
        size_bytes += len(chunk)
        _check_size(size_bytes, limit_bytes)
        chunks.append(chunk)
    return b"".join(chunks)


async def read_buffered(
    read_next: Callable[[], Awaitable[bytes]],
    limit_bytes: int,
    buffer: Buffer,
    pending_bytes: int = 0,
) -> bytes:
    """Returns a complete body; its bytes are counted until `buffer` is closed.

    Args:
      read_next: Returns the next bytes of the body; empty at its end.
      limit_bytes: Largest accepted body.
      buffer: Counts the bytes.
      pending_bytes: Bytes that its connection may hold beside, as long as it
        arrives.

    Raises:
      BodyTooLargeError: It exceeds its limit.
      BuffersFullError: All buffered bodies exceed their limit.
      aiohttp.ClientError: It is incomplete.
    """
    body = _Blocks()
    try:
        async with asyncio.timeout(None) as timeout:
            buffer.begin(timeout)
            while chunk := await read_next():
                size_bytes = body.size_bytes + len(chunk)
                _check_size(size_bytes, limit_bytes)
                buffer.resize(size_bytes + pending_bytes)
                body.add(chunk)
            buffer.resize(body.size_bytes)
    except TimeoutError as error:
        body.clear()
        raise BuffersFullError("dropped for other bodies") from error
    except BaseException:
        buffer.close()
        # The traceback keeps this frame alive, often until it is collected.
        body.clear()
        raise
    finally:
        buffer.end()
    return body.join()


class _Blocks:
    """The bytes of a body in blocks of some length.

    Pieces of few bytes would take many times their bytes, and memory that grows
    with a body would be fragmented.

    Attributes:
      size_bytes: Bytes of all blocks.
    """

    def __init__(self) -> None:
        self._blocks: list[bytes] = []
        self._last = bytearray()
        self.size_bytes = 0

    def add(self, data: bytes) -> None:
        """Adds bytes at the end."""
        self.size_bytes += len(data)
        self._last += data
        if len(self._last) >= BLOCK_MIN_BYTES:
            self._blocks.append(bytes(self._last))
            self._last.clear()

    def clear(self) -> None:
        """Forgets all bytes."""
        self._blocks.clear()
        self._last = bytearray()

    def join(self) -> bytes:
        """Returns all bytes."""
        return b"".join([*self._blocks, self._last])


def _check_size(size_bytes: int, limit_bytes: int) -> None:
    if size_bytes > limit_bytes:
        raise BodyTooLargeError(f"body exceeds {limit_bytes} bytes")
