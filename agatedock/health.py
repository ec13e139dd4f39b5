"""Health of an upstream: one that keeps failing is left alone for a while."""

from __future__ import annotations

FAILURES_TO_EJECT = 2
EJECT_S = 1.0
EJECT_MAX_S = 30.0


class Health:
    """Ejects an upstream after failures in a row, longer each time.

    Attributes:
      ejected_until: Monotonic time in seconds before which it gets no work.
    """

    def __init__(self) -> None:
        self.ejected_until = 0.0
        self._failures = 0
        self._ejections = 0
        self._ejected_at = 0.0

    def is_good(self, now: float) -> bool:
        """Tells whether the upstream may get work."""
        return now >= self.ejected_until

    def take_result(self, ok: bool, now: float) -> None:
        """Learns from one request or probe."""
        if ok:
            self._failures = 0
            # One good answer is not enough to forget that it flaps.
            if now - self._ejected_at > EJECT_MAX_S:
                self._ejections = 0
            return
        self._failures += 1
        if self._failures >= FAILURES_TO_EJECT:
            hold_s = min(EJECT_MAX_S, EJECT_S * 2**self._ejections)
            self._ejections += 1
            self._failures = 0
            self._ejected_at = now
            self.ejected_until = now + hold_s
