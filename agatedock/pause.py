"""Notices when this process was paused, so that it does not act on old news."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging
import time

from agatedock import logs

TICK_S = 0.2
PAUSE_S = 1.0

_log = logging.getLogger(__name__)


class Watch:
    """Compares a regular tick with the monotonic clock."""

    def __init__(self, now: float):
        self.last_tick = now

    def is_paused(self, now: float) -> bool:
        """Tells whether a pause has just ended and is not yet dealt with."""
        return now - self.last_tick > PAUSE_S

    async def run(self, on_pause: Callable[[float, float], None]) -> None:
        """Ticks until cancelled.

        Args:
          on_pause: Called with the length of a pause and the present time,
            both in seconds.
        """
        self.last_tick = time.monotonic()
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            pause_s = now - self.last_tick
            if pause_s > PAUSE_S:
                logs.event(_log, "process_paused", pause_ms=int(pause_s * 1000))
                on_pause(pause_s, now)
            self.last_tick = now
