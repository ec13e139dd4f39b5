"""Connections to replicas that were closed before a response was complete."""

from __future__ import annotations

import collections
import enum
import logging

from agatedock import logs

_log = logging.getLogger(__name__)


class Reason(enum.StrEnum):
    """Why a connection was closed."""

    # Its head says all; the rest is not worth the wait.
    REJECTION_BODY = "rejection_body"
    BODY_TOO_LARGE = "body_too_large"
    # All bodies that are buffered together exceed their limit.
    BUFFERS_FULL = "buffers_full"
    INVALID_STREAM = "invalid_stream"
    INVALID_HEAD = "invalid_head"
    # Chunks or trailers that are not within the grammar.
    INVALID_CHUNKS = "invalid_chunks"
    # Informational responses without a final one.
    NO_FINAL_HEAD = "no_final_head"


class EarlyCloses:
    """Logs and counts them.

    Attributes:
      counts: Number of connections closed, by reason.
    """

    def __init__(self) -> None:
        self.counts: collections.Counter[Reason] = collections.Counter()

    def record(
        self, request_id: str, replica_id: str, size_bytes: int, reason: Reason
    ) -> None:
        """Records that the router closed a connection.

        Args:
          request_id: Id of the request.
          replica_id: Id of the replica.
          size_bytes: Bytes of the body that had arrived.
          reason: Why it was closed.
        """
        self.counts[reason] += 1
        logs.event(
            _log,
            "response_cut",
            logging.WARNING,
            id=request_id,
            replica=replica_id,
            bytes=size_bytes,
            reason=reason,
        )
