"""The open connections of clients, and who of them has to make room."""

from __future__ import annotations

import collections
import enum
import logging
from typing import Protocol

from agatedock import clock
from agatedock import logs
from agatedock.decisions import client_limits

_log = logging.getLogger(__name__)


class Reason(enum.StrEnum):
    """Why a connection of a client was closed."""

    # A head, or empty lines before one.
    HEAD_TOO_LARGE = "head_too_large"
    # All heads that are arriving exceed their limit.
    HEADS_FULL = "heads_full"
    # Lengths, extensions or trailers of pieces with little data.
    BODY_OVERHEAD = "body_overhead"
    # There are more connections than the process may have.
    CONNECTIONS_FULL = "connections_full"


class Connection(client_limits.Connection, Protocol):
    """A connection of a client."""

    def cut(self, reason: Reason) -> None:
        """Closes the connection, and counts it."""

    def force_close(self) -> None:
        """Closes the connection."""


class OpenConnections:
    """The open connections of clients.

    Attributes:
      heads_bytes: Bytes of the heads that are arriving.
      counts: Number of connections closed, by reason.
    """

    def __init__(self, limits: client_limits.ClientLimits) -> None:
        """Starts without connections.

        Args:
          limits: What all clients together may make the process hold.
        """
        self._limits = limits
        self._open: set[Connection] = set()
        # Those that got a response and wait for another request.
        self._idle: set[Connection] = set()
        self.heads_bytes = 0
        self.counts: collections.Counter[Reason] = collections.Counter()

    def add(self, connection: Connection) -> None:
        """Adds a connection; another one is closed if there are too many."""
        closed = None
        if len(self._open) >= self._limits.connections:
            closed = client_limits.choose_connection(self._open) or connection
        self._open.add(connection)
        if closed is not None:
            closed.cut(Reason.CONNECTIONS_FULL)

    def remove(self, connection: Connection) -> None:
        """Removes a connection that was closed."""
        self.resize_head(connection, 0)
        self._open.discard(connection)
        self._idle.discard(connection)

    def resize_head(self, connection: Connection, size_bytes: int) -> None:
        """Sets the bytes of an arriving head, and drops others if it has to."""
        self.heads_bytes += size_bytes - connection.size_bytes
        connection.size_bytes = size_bytes
        while self.heads_bytes > self._limits.heads_bytes:
            arriving = [item for item in self._open if item.size_bytes]
            now = clock.read_steady_s()
            dropped = client_limits.choose_dropped(arriving, now)
            assert dropped is not None
            dropped.cut(Reason.HEADS_FULL)

    def set_idle(self, connection: Connection, is_idle: bool) -> None:
        """Records whether a connection waits for another request."""
        if is_idle:
            self._idle.add(connection)
        else:
            self._idle.discard(connection)

    def is_idle(self, connection: Connection) -> bool:
        """Returns whether a connection waits for another request."""
        return connection in self._idle

    def list_open(self) -> list[Connection]:
        """Returns all open connections."""
        return list(self._open)

    def list_idle(self) -> list[Connection]:
        """Returns the connections that wait for another request."""
        return list(self._idle)

    def record_cut(
        self, reason: Reason, size_bytes: int, elapsed_s: float
    ) -> None:
        """Records that a connection is closed.

        Args:
          reason: Why.
          size_bytes: Bytes received since its last request.
          elapsed_s: Time since it was opened.
        """
        self.counts[reason] += 1
        logs.event(
            _log,
            "client_cut",
            logging.WARNING,
            reason=reason,
            bytes=size_bytes,
            seconds=round(elapsed_s, 1),
        )
