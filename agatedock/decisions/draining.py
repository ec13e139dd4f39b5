"""Decides which requests a router still takes while it shuts down."""

from __future__ import annotations

import dataclasses

# Part of the grace period in which requests are accepted at most.
ACCEPT_FRACTION = 0.35
# Time before the end of the grace period at which requests that are not
# answered yet get an error response, and its limit as a part of the period.
ANSWER_MARGIN_S = 0.3
ANSWER_MARGIN_FRACTION = 0.1
# A timer may fire a little early.
TIMER_TOLERANCE_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class DrainTimes:
    """How a router drains; all times count from the start of draining.

    Attributes:
      deregistration_delay_s: Time after which no new clients are directed here
        any more, and idle connections are closed.
      accept_until_s: Requests that arrive later are rejected, because their
        responses might not be complete when the process ends; at most
        ACCEPT_FRACTION of the grace period.
      idle_linger_s: Time until which the router waits for connections that have
        not sent a request yet.
      grace_s: Time at which draining ends at the latest.
    """

    deregistration_delay_s: float
    accept_until_s: float
    idle_linger_s: float
    grace_s: float


# Times of a router that ends at once.
NO_TIMES = DrainTimes(0.0, 0.0, 0.0, 0.0)


class Drain:
    """The shutdown of one router.

    Attributes:
      times: Its times.
      began_at: When it began, in seconds; None before.
    """

    def __init__(self, times: DrainTimes) -> None:
        self.times = times
        self.began_at: float | None = None

    def begin(self, now: float) -> None:
        """Starts draining."""
        self.began_at = now

    def get_elapsed_s(self, now: float) -> float:
        """Returns the seconds since draining began; 0 if it has not."""
        return 0.0 if self.began_at is None else now - self.began_at

    def accepts_requests(self, now: float) -> bool:
        """Returns whether a request that arrives now is accepted."""
        if self.began_at is None:
            return True
        accept_until_s = min(
            self.times.accept_until_s, ACCEPT_FRACTION * self.times.grace_s
        )
        return now - self.began_at < accept_until_s

    def get_answer_time_s(self, now: float) -> float:
        """Returns the seconds in which a request must be answered."""
        if self.began_at is None:
            return float("inf")
        grace_s = self.times.grace_s
        margin_s = min(ANSWER_MARGIN_S, ANSWER_MARGIN_FRACTION * grace_s)
        return max(0.0, self.began_at + grace_s - margin_s - now)

    def is_answer_due(self, now: float) -> bool:
        """Returns whether all requests must be answered now."""
        return self.get_answer_time_s(now) < TIMER_TOLERANCE_S

    def can_finish(self, expected_s: float, now: float) -> bool:
        """Returns whether a request may be sent to a replica.

        Args:
          expected_s: Expected time until its response is complete.
          now: Present time in seconds.
        """
        return expected_s <= self.get_answer_time_s(now)
