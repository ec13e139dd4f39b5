"""Measures how late the event loop runs what is due."""

from __future__ import annotations

import asyncio
import logging
import time

from agatedock import logs

MEASURE_INTERVAL_S = 0.5
# Heartbeats, readiness and deadlines suffer from a longer lag.
LAG_LOGGED_S = 0.25

_log = logging.getLogger(__name__)


class LoopMonitor:
    """Measures the lag of the event loop, and logs a long one."""

    def __init__(self) -> None:
        self._longest_s = 0.0

    async def run(self) -> None:
        """Measures until it is cancelled."""
        while True:
            due_at = time.monotonic() + MEASURE_INTERVAL_S
            await asyncio.sleep(MEASURE_INTERVAL_S)
            self.record(time.monotonic() - due_at)

    def record(self, lag_s: float) -> None:
        """Records that something ran so many seconds after it was due."""
        self._longest_s = max(self._longest_s, lag_s)
        if lag_s > LAG_LOGGED_S:
            logs.event(
                _log,
                "event_loop_lag",
                logging.WARNING,
                lag_ms=round(lag_s * 1000),
            )

    def take_longest_s(self) -> float:
        """Returns the longest lag since the last call, in seconds."""
        longest_s, self._longest_s = self._longest_s, 0.0
        return longest_s
