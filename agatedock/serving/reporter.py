"""Logs and counts what became of each request."""

from __future__ import annotations

import logging

from agatedock import logs
from agatedock import metrics
from agatedock.serving import journal

_log = logging.getLogger(__name__)

_MS_PER_S = 1000


class Reporter:
    """Writer of the line of each request."""

    def __init__(self, meters: metrics.Metrics) -> None:
        self._meters = meters

    def report(
        self, entry: journal.Entry, arrived_at: float, now: float
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
        self._meters.answer_s.observe({"service": entry.service}, took_s)
        if entry.pieces:
            self._meters.first_s.observe(
                {"service": entry.service}, entry.first_at - arrived_at
            )
        logs.event(
            _log,
            "request",
            logging.WARNING if entry.is_failure else logging.INFO,
            id=entry.request_id,
            route=entry.route,
            account=entry.account,
            service=entry.service,
            replica=entry.replica,
            reason=entry.reason,
            running=entry.running,
            mean=round(entry.mean, 1),
            fetch_from=entry.fetch_from,
            revision=entry.revision,
            proof_age_ms=round(entry.proof_age_s * _MS_PER_S),
            failures=",".join(entry.failures),
            outcome=entry.outcome,
            status=entry.status,
            pieces=entry.pieces,
            pause_ms=round(entry.pause_s * _MS_PER_S),
            took_ms=round(took_s * _MS_PER_S),
        )
