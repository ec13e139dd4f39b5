"""Decides whether a request may be retried at another replica.

Limits the load that retries add when replicas fail: the retries of each service
stay within a fraction of its requests. Each router keeps to its part of this
budget alone, without coordination.
"""

from __future__ import annotations

import collections
import dataclasses
import enum

# Fraction of the budget that is used. The rest covers the error when routers
# disagree on the number of routers.
SAFETY_FACTOR = 0.7
# Lower limit of the router count by which the slack is divided, as the count is
# too low until the first listing of routers has arrived.
ROUTER_COUNT_MIN = 8


class Outcome(enum.StrEnum):
    """How an attempt at one replica ended without a usable response.

    The values are written to the access log.
    """

    # No connection could be made.
    NOT_SENT = "not_sent"
    # The replica replied that it has not run the request.
    NOT_RUN = "not_run"
    # The replica's address now belongs to another replica.
    MISDIRECTED = "moved"
    # The replica replied with an error.
    FAILED = "failed"
    # The connection broke, or the response was invalid.
    BROKEN = "broken"
    # There was no response, or no further part of it, in time.
    TIMED_OUT = "silent"


# Outcomes after which the replica has not run the request and never will.
CERTAINLY_NOT_RUN = frozenset(
    {Outcome.NOT_SENT, Outcome.NOT_RUN, Outcome.MISDIRECTED}
)


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetLimits:
    """The retry budget of the whole fleet, for each service.

    Attributes:
      ratio: Retries allowed for each request.
      slack: Retries allowed in addition, for the whole fleet in one window.
      window_s: Length of the sliding window.
    """

    ratio: float
    slack: float
    window_s: float


def may_retry(idempotent: bool, outcome: Outcome) -> bool:
    """Returns whether a retry is safe after an outcome.

    A request that is not idempotent must not run twice.
    """
    return idempotent or outcome in CERTAINLY_NOT_RUN


class Budget:
    """This router's part of the fleet's retry budget, by service."""

    def __init__(self, limits: BudgetLimits) -> None:
        self._limits = limits
        self._first_attempts: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def set_limits(self, limits: BudgetLimits) -> None:
        """Replaces the limits; requests and retries so far still count."""
        self._limits = limits

    def record_first_attempt(self, service: str, now: float) -> None:
        """Counts the first attempt of a request."""
        self._trim(self._first_attempts, service, now).append(now)

    def try_spend(self, service: str, router_count: int, now: float) -> bool:
        """Takes one retry out of the budget if one is left.

        Args:
          service: Name of the service.
          router_count: Live routers of the fleet, over which the slack is
            divided.
          now: Present time in seconds.

        Returns:
          Whether the retry may be made.
        """
        first_attempts = len(self._trim(self._first_attempts, service, now))
        spent = self._trim(self._retries, service, now)
        slack_share = self._limits.slack / max(1, router_count)
        allowed = SAFETY_FACTOR * (
            self._limits.ratio * first_attempts + slack_share
        )
        if len(spent) + 1 > allowed:
            return False
        spent.append(now)
        return True

    def _trim(
        self,
        by_service: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> collections.deque[float]:
        """Returns the times of a service that are in the present window."""
        times = by_service.setdefault(service, collections.deque())
        while times and now - times[0] > self._limits.window_s:
            times.popleft()
        return times
