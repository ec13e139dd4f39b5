"""Logs each finished request and updates the metrics."""

from __future__ import annotations

import logging
from typing import Protocol

from agatedock import logs
from agatedock import metrics
from agatedock.serving import access_log

_log = logging.getLogger(__name__)


class RequestSink(Protocol):
    """Stores the log fields of recent requests."""

    def add(self, request_id: str, fields: dict[str, object]) -> None:
        """Stores the log fields of a request."""


class Reporter:
    """Writes the access log and updates the metrics of requests."""

    def __init__(
        self, meters: metrics.Metrics, sink: RequestSink | None = None
    ) -> None:
        """Initializes the reporter.

        Args:
          meters: Counters and histograms.
          sink: Stores recent requests for operators; None to store none.
        """
        self._meters = meters
        self._sink = sink

    def report(
        self,
        log_entry: access_log.AccessLogEntry,
        arrived_at: float,
        now: float,
    ) -> None:
        """Logs and counts one request that has ended.

        Args:
          log_entry: Access log entry of the request.
          arrived_at: When the request arrived, in seconds.
          now: Present time in seconds.
        """
        duration_s = now - arrived_at
        self._meters.requests.inc(
            {"service": log_entry.service, "outcome": log_entry.outcome}
        )
        if log_entry.basis:
            self._meters.placements.inc(
                {"service": log_entry.service, "basis": log_entry.basis}
            )
        if log_entry.quarantined_part:
            self._meters.quarantined.inc({"part": log_entry.quarantined_part})
        self._meters.answer_s.observe(
            {"service": log_entry.service}, duration_s
        )
        if log_entry.chunk_count:
            self._meters.first_event_s.observe(
                {"service": log_entry.service},
                log_entry.first_chunk_at - arrived_at,
            )
        fields = log_entry.to_log_fields(arrived_at, duration_s)
        level = logging.WARNING if log_entry.is_failure else logging.INFO
        logs.event(_log, "request", level, **fields)
        if self._sink is not None:
            self._sink.add(log_entry.request_id, fields)
