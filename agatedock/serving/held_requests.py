"""Memory of the requests that one connection holds, without their bodies."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from aiohttp import http

from agatedock.decisions import client_limits


def measure_largest(messages: Iterable[object]) -> int:
    """Returns the bytes of the largest head, without separators."""
    return max(map(_measure_head, messages), default=0)


class HeldRequests:
    """Requests that are served or queued, and the head of one that arrives.

    Attributes:
      arriving_bytes: Bytes of a head that is not complete, or of trailers.
      size_bytes: Memory of all of them.
    """

    def __init__(self) -> None:
        self._unanswered: collections.deque[int] = collections.deque()
        self._arriving_lines = 0
        self.arriving_bytes = 0
        self.size_bytes = 0

    def count_unanswered(self) -> int:
        """Returns the number of requests whose response is not complete."""
        return len(self._unanswered)

    def add_lines(self, data: bytes) -> None:
        """Counts bytes that the library keeps as lines."""
        self.arriving_bytes += len(data)
        self._arriving_lines += data.count(b"\n")
        self._sum_up()

    def set_lines(self, data: bytes) -> None:
        """Counts bytes in place of those that were arriving."""
        self.arriving_bytes = 0
        self._arriving_lines = 0
        self.add_lines(data)

    def begin_requests(self, messages: Iterable[object]) -> None:
        """Counts complete heads in place of the one that was arriving.

        Args:
          messages: What the library has parsed.
        """
        self.arriving_bytes = 0
        self._arriving_lines = 0
        self._unanswered += map(_estimate_request, messages)
        self._sum_up()

    def end_request(self) -> None:
        """Forgets the head of the oldest request, which was answered."""
        if self._unanswered:
            self._unanswered.popleft()
        self._sum_up()

    def _sum_up(self) -> None:
        self.size_bytes = sum(self._unanswered)
        if self.arriving_bytes:
            self.size_bytes += client_limits.estimate_head_bytes(
                self.arriving_bytes, self._arriving_lines
            )


def _measure_head(message: object) -> int:
    """Returns the bytes of a head; 0 if it could not be parsed."""
    if not isinstance(message, http.RawRequestMessage):
        return 0
    return len(message.path) + sum(
        len(name) + len(value) for name, value in message.raw_headers
    )


def _estimate_request(message: object) -> int:
    """Returns the memory of a request without its body."""
    lines = 0
    if isinstance(message, http.RawRequestMessage):
        lines = len(message.raw_headers)
    head_bytes = client_limits.estimate_head_bytes(
        _measure_head(message), lines
    )
    return client_limits.REQUEST_BYTES + head_bytes
