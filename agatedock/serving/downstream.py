"""The client's side of one request."""

from __future__ import annotations

from typing import Protocol

from agatedock.serving import request_errors


class Downstream(Protocol):
    """Where the body of a request comes from and its answer goes."""

    async def read_body(self, limit_bytes: int, timeout_s: float) -> bytes:
        """Returns the whole body.

        Raises:
          declines.Declined: The body is too large or too late.
        """

    async def send_response(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Sends a whole answer."""

    async def start_stream(
        self, status: int, headers: list[tuple[str, str]]
    ) -> None:
        """Sends the head of a stream."""

    async def write(self, data: bytes) -> None:
        """Sends a piece of a stream."""

    async def end_stream(self) -> None:
        """Ends a stream as complete."""

    async def abort_stream(
        self, request_error: request_errors.RequestError
    ) -> None:
        """Ends a stream so that it looks incomplete.

        Args:
          request_error: Why it could not be completed.
        """
