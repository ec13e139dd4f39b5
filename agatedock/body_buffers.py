"""Reads message bodies with limits on each of them and on their sum."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import aiohttp


class BodyTooLargeError(aiohttp.ClientPayloadError):
    """A body exceeds its limit; the rest of it was not read."""


class BuffersFullError(Exception):
    """A body was dropped, as all buffered bodies together exceed the limit."""


class BodyBuffers:
    """Limits the bytes of the bodies that a process buffers at the same time.

    If they exceed the limit, the largest body that is still arriving is
    dropped: many sound bodies are short, and one that is far longer is the most
    likely to have no end.

    Attributes:
      held_bytes: Bytes of all bodies at present.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._arriving: set[Buffer] = set()
        self.held_bytes = 0

    def open(self) -> Buffer:
        """Returns an empty buffer, which its user closes."""
        return Buffer(self)

    def resize(self, buffer: Buffer, size_bytes: int) -> None:
        """Sets the size of a buffer, and drops others if it has to.

        Raises:
          BuffersFullError: The limit is exceeded, and no arriving body is
            larger.
        """
        self.held_bytes += size_bytes - buffer.size_bytes
        buffer.size_bytes = size_bytes
        while self.held_bytes > self._limit_bytes:
            largest = max(
                self._arriving, key=lambda item: item.size_bytes, default=buffer
            )
            if largest.size_bytes <= size_bytes:
                raise BuffersFullError(
                    f"buffered bodies exceed {self._limit_bytes} bytes"
                )
            largest.drop()

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
      is_dropped: Whether its body had to make room for others.
    """

    def __init__(self, buffers: BodyBuffers) -> None:
        self._buffers = buffers
        self._timeout: asyncio.Timeout | None = None
        self.size_bytes = 0
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
    read_next: Callable[[], Awaitable[bytes]], limit_bytes: int, buffer: Buffer
) -> bytes:
    """Returns a complete body; its bytes are counted until `buffer` is closed.

    Args:
      read_next: Returns the next bytes of the body; empty at its end.
      limit_bytes: Largest accepted body.
      buffer: Counts the bytes.

    Raises:
      BodyTooLargeError: It exceeds its limit.
      BuffersFullError: All buffered bodies exceed their limit.
      aiohttp.ClientError: It is incomplete.
    """
    chunks: list[bytes] = []
    size_bytes = 0
    try:
        async with asyncio.timeout(None) as timeout:
            buffer.begin(timeout)
            while chunk := await read_next():
                size_bytes += len(chunk)
                _check_size(size_bytes, limit_bytes)
                buffer.resize(size_bytes)
                chunks.append(chunk)
    except TimeoutError as error:
        raise BuffersFullError("dropped for other bodies") from error
    except BaseException:
        buffer.close()
        raise
    finally:
        buffer.end()
    return b"".join(chunks)


def _check_size(size_bytes: int, limit_bytes: int) -> None:
    if size_bytes > limit_bytes:
        raise BodyTooLargeError(f"body exceeds {limit_bytes} bytes")
