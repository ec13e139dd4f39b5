"""Logs and counts what became of each request."""

from __future__ import annotations

import logging
from typing import Protocol

from agatedock import logs
from agatedock import metrics
from agatedock.serving import access_log

_log = logging.getLogger(__name__)


class RequestSink(Protocol):
    """Keeps the latest lines."""

    def add(self, request_id: str, fields: dict[str, object]) -> None:
        """Keeps the line of a request."""


class Reporter:
    """Writer of the line of each request."""

    def __init__(
        self, meters: metrics.Metrics, kept: RequestSink | None = None
    ) -> None:
        """Builds the writer.

        Args:
          meters: Counters and histograms.
          kept: The latest lines, for operators; None to keep none.
        """
        self._meters = meters
        self._kept = kept

    def report(
        self, entry: access_log.AccessLogEntry, arrived_at: float, now: float
    ) -> None:
        """Logs and counts one request that was answered or given up.

        Args:
          entry: What happened.
          arrived_at: When it was read, in seconds.
          now: Present time in seconds.
        """
        took_s = now - arrived_at
        self._meters.requests.inc(
            {"service": entry.service, "outcome": entry.outcome}
        )
        if entry.basis:
            self._meters.placements.inc(
                {"service": entry.service, "basis": entry.basis}
            )
        self._meters.answer_s.observe({"service": entry.service}, took_s)
        if entry.chunk_count:
            self._meters.first_event_s.observe(
                {"service": entry.service}, entry.first_chunk_at - arrived_at
            )
        fields = entry.to_log_fields(took_s)
        level = logging.WARNING if entry.is_failure else logging.INFO
        logs.event(_log, "request", level, **fields)
        if self._kept is not None:
            self._kept.add(entry.request_id, fields)
