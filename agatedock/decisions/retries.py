"""Whether a request may be sent to another replica.

Answers the load that retries add when replicas fail: each service's repeats
stay within a share of its requests, which all routers keep to without talk.
"""

from __future__ import annotations

import collections
import dataclasses
import enum

# Part of the allowed repeats that is used; the rest covers routers that count
# their peers wrongly.
SAFETY_FACTOR = 0.7
# Peers assumed until the first listing of routers.
ROUTER_COUNT_MIN = 8


class Outcome(enum.StrEnum):
    """How sending a request to one replica ended without a usable answer."""

    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    MISDIRECTED = "moved"
    FAILED = "failed"
    BROKEN = "broken"
    TIMED_OUT = "silent"


# The request was not run there, and never will be.
CERTAINLY_NOT_RUN = frozenset(
    {Outcome.NOT_SENT, Outcome.NOT_RUN, Outcome.MISDIRECTED}
)


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetLimits:
    """The fleet's limit on repeats.

    Attributes:
      ratio: Repeats allowed for each request.
      slack: Repeats allowed besides, for the whole fleet in one window.
      window_s: Length of the window.
    """

    ratio: float
    slack: float
    window_s: float


def may_retry(idempotent: bool, outcome: Outcome) -> bool:
    """Tells whether a second send keeps a request from running twice."""
    return idempotent or outcome in CERTAINLY_NOT_RUN


class Budget:
    """This router's part of the fleet's allowed repeats, by service."""

    def __init__(self, limits: BudgetLimits) -> None:
        self._limits = limits
        self._first_attempts: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def set_limits(self, limits: BudgetLimits) -> None:
        """Replaces the limit."""
        self._limits = limits

    def record_first_attempt(self, service: str, now: float) -> None:
        """Counts the first send of a request."""
        self._trim(self._first_attempts, service, now).append(now)

    def try_spend(self, service: str, router_count: int, now: float) -> bool:
        """Takes one repeat out of the budget if there is one left.

        Args:
          service: Where the repeat goes.
          router_count: Routers of the fleet that are known to run.
          now: Present time in seconds.
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
        times = by_service.setdefault(service, collections.deque())
        while times and now - times[0] > self._limits.window_s:
            times.popleft()
        return times
