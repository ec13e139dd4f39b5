"""Decides how much of the event loop's time one peer may use.

A peer whose bytes take long to process (many short chunks, events or heads)
would otherwise keep a process busy, and everything else there would be late.
"""

from __future__ import annotations

# Time that a peer may use at once, and its share of the time after that.
CAPACITY_S = 0.005
SHARE = 0.5
# Longer measurements are those of a process that did not get the processor.
SPENT_MAX_S = 0.02


class Allowance:
    """Token bucket of processing time."""

    def __init__(self) -> None:
        self._available_s = CAPACITY_S
        self._updated_at = float("-inf")

    def spend(self, elapsed_s: float, now: float) -> float:
        """Records processing time.

        Args:
          elapsed_s: Time that was used.
          now: Present time in seconds.

        Returns:
          Seconds for which nothing more is to be read from the peer; 0 if it
          may go on.
        """
        refilled_s = self._available_s + (now - self._updated_at) * SHARE
        self._updated_at = now
        self._available_s = min(CAPACITY_S, refilled_s) - min(
            elapsed_s, SPENT_MAX_S
        )
        if self._available_s > 0:
            return 0.0
        return (CAPACITY_S / 2 - self._available_s) / SHARE
