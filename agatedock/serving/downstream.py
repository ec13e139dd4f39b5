"""The client's side of one request."""

from __future__ import annotations

from typing import Protocol

from agatedock.serving import request_errors


class Downstream(Protocol):
    """Reads a request's body and sends the response to the client."""

    async def read_body(self, limit_bytes: int, timeout_s: float) -> bytes:
        """Returns the complete body.

        Args:
          limit_bytes: Largest accepted body.
          timeout_s: Time until the body must be complete.

        Raises:
          request_errors.RequestError: The body is too large, late or invalid.
        """

    async def send_response(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Sends a complete response."""

    async def start_stream(
        self, status: int, headers: list[tuple[str, str]]
    ) -> None:
        """Sends the response head of a stream."""

    async def write(self, data: bytes) -> None:
        """Sends a chunk of a stream."""

    async def end_stream(self) -> None:
        """Ends a stream as complete."""

    async def abort_stream(
        self, request_error: request_errors.RequestError
    ) -> None:
        """Ends a stream so that the client sees it as incomplete.

        Args:
          request_error: Why the stream could not be completed.
        """
