"""The open connections of clients, and who of them has to make room."""

from __future__ import annotations

import collections
import enum
import itertools
import logging
from typing import Protocol

from agatedock import clock
from agatedock import logs
from agatedock.decisions import client_limits

_log = logging.getLogger(__name__)

# Connections of which one is chosen to make room: those without progress for
# the longest time.
CANDIDATES_MAX = 64


class Reason(enum.StrEnum):
    """Why a connection of a client was closed."""

    # A head, or empty lines before one.
    HEAD_TOO_LARGE = "head_too_large"
    # All requests that arrive or are served exceed their limit.
    REQUESTS_FULL = "requests_full"
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
      requests_bytes: Memory of the requests that arrive or are served, without
        their bodies.
      counts: Number of connections closed, by reason.
    """

    def __init__(self, limits: client_limits.ClientLimits) -> None:
        """Starts without connections.

        Args:
          limits: What all clients together may make the process hold.
        """
        self._limits = limits
        # By phase, in the order of their last progress.
        self._by_phase: dict[client_limits.Phase, dict[Connection, None]] = {
            phase: {} for phase in client_limits.Phase
        }
        # Memory of the requests of each connection.
        self._sizes_bytes: dict[Connection, int] = {}
        self.requests_bytes = 0
        self.counts: collections.Counter[Reason] = collections.Counter()

    def add(self, connection: Connection) -> None:
        """Adds a connection; another one is closed if there are too many."""
        closed = None
        if len(self._sizes_bytes) >= self._limits.connections:
            candidates = self._list_candidates(
                client_limits.Phase.ARRIVING
            ) + self._list_candidates(client_limits.Phase.IDLE)
            closed = client_limits.choose_connection(candidates) or connection
        self._sizes_bytes[connection] = 0
        self._by_phase[connection.phase][connection] = None
        if closed is not None:
            closed.cut(Reason.CONNECTIONS_FULL)

    def remove(self, connection: Connection) -> None:
        """Removes a connection that was closed."""
        self.requests_bytes -= self._sizes_bytes.pop(connection, 0)
        for connections in self._by_phase.values():
            connections.pop(connection, None)

    def update(self, connection: Connection) -> None:
        """Records progress; closes others if all requests exceed their limit.

        Connections whose request is being served are not closed for others.
        """
        if connection not in self._sizes_bytes:
            return
        for connections in self._by_phase.values():
            connections.pop(connection, None)
        self._by_phase[connection.phase][connection] = None
        size_bytes = connection.size_bytes
        self.requests_bytes += size_bytes - self._sizes_bytes[connection]
        self._sizes_bytes[connection] = size_bytes
        while self.requests_bytes > self._limits.requests_bytes:
            dropped = self._choose_dropped(connection)
            if dropped is None:
                return
            dropped.cut(Reason.REQUESTS_FULL)

    def _choose_dropped(self, connection: Connection) -> Connection | None:
        """Returns whose requests make room for those of a connection.

        Another one whose request is still arriving, else the connection itself
        unless it holds little.
        """
        arriving = self._list_candidates(client_limits.Phase.ARRIVING)
        dropped = client_limits.choose_dropped(arriving, clock.read_steady_s())
        if dropped is not None:
            return dropped
        count = len(self._sizes_bytes)
        if client_limits.is_spared(connection, self.requests_bytes, count):
            return None
        return connection

    def _list_candidates(self, phase: client_limits.Phase) -> list[Connection]:
        connections = self._by_phase[phase]
        return list(itertools.islice(connections, CANDIDATES_MAX))

    def is_idle(self, connection: Connection) -> bool:
        """Returns whether a connection waits for another request."""
        return connection in self._by_phase[client_limits.Phase.IDLE]

    def list_open(self) -> list[Connection]:
        """Returns all open connections."""
        return list(self._sizes_bytes)

    def list_idle(self) -> list[Connection]:
        """Returns the connections that wait for another request."""
        return list(self._by_phase[client_limits.Phase.IDLE])

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
