"""Decides how many requests a replica gets that takes fewer than usual.

Answers the load of a replica that names a rate limit, the requests per second
from all routers together, and of one that is cold and crashes on more. One
router, the owner of the replica's count, grants them from a token bucket. A
router that gets no reply from the owner uses a small share of the rate alone.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import re

# A limit above this is treated as this; no replica takes as many.
RATE_MAX_PER_S = 1e6
# Rate at which a replica is used whatever lower limit it names, as only an
# answer shows that the limit has ended.
PROBE_RATE_PER_S = 0.2
# Requests that may be granted at once: a fixed number and those of this time.
BURST_REQUESTS = 2.0
BURST_S = 0.5
# Part of the rate of a cold replica that is granted. Two routers may both hold
# themselves for the owner of its count for a moment.
COLD_SHARE = 0.6
# Requests that were sent without a grant are paid back for at most this time.
DEBT_MAX_S = 1.0
# Part of the rate that a router grants while it stands in for a silent owner;
# several may do so at once, and the owner may still grant the whole rate.
STAND_IN_SHARE = 0.15
# Part of the rate that all routers together use while owners are silent.
OWNERLESS_SHARE = 0.25
# The lowest rank for which tokens are kept.
RANK_MAX = 3
# Part of the burst that is kept for higher ranks, at the lowest rank.
KEPT_FRACTION_MAX = 0.75
# At most the tokens of this time are kept, or a low rate would serve no others.
KEPT_MAX_S = 1.0
# Time over which rejected clients are told to return, in addition.
RETURN_SPREAD_S = 0.5
# Least time until a rejected client should return; also if it is not known when
# a place is likely, as an owner is silent.
RETURN_MIN_S = 0.2

_DECIMAL_PATTERN = re.compile(r"\d{1,40}(\.\d{0,40})?", re.ASCII)


def parse_rate(values: Sequence[str]) -> float | None:
    """Returns a rate limit in requests per second, at most RATE_MAX_PER_S.

    Returns None if no value can be read. Of several values the lowest applies.

    Args:
      values: Values of the header; decimal numbers.
    """
    rates = [
        float(value.strip())
        for value in values
        if _DECIMAL_PATTERN.fullmatch(value.strip())
    ]
    return min((*rates, RATE_MAX_PER_S)) if rates else None


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """What the answers of one run of a replica say of its rate limit.

    Attributes:
      rate: Requests per second; None if it has no limit.
      at: Time in seconds up to which this is known: when an answer with the
        limit arrived, or when the request of an answer without it was sent.
    """

    rate: float | None
    at: float

    def is_newer_than(self, other: Observation | None) -> bool:
        """Returns whether this observation replaces another one."""
        return other is None or self.at > other.at


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Decision on one request.

    Attributes:
      granted: Whether it may be sent.
      wait_s: Time until one of this rank is likely to be granted; 0 if granted.
    """

    granted: bool
    wait_s: float = 0.0


class Bucket:
    """Token bucket of one run of a replica; a token is a request.

    It starts empty, as another router may have granted requests just before.
    """

    def __init__(self, observation: Observation, now: float) -> None:
        """Creates an empty bucket.

        Args:
          observation: The rate limit.
          now: Present time in seconds.
        """
        self.observation = observation
        self._tokens = 0.0
        self._refilled_at = now

    def learn(self, observation: Observation, now: float) -> None:
        """Applies an observation unless a newer one is known."""
        if not observation.is_newer_than(self.observation):
            return
        self._refill(now)
        if self.observation.rate is None:
            self._tokens = min(0.0, self._tokens)
        self.observation = observation

    def take(self, rank: int, share: float, now: float) -> Grant:
        """Grants a request if there is a token for its rank.

        Args:
          rank: Rank of the request; 0 is the highest.
          share: Part of the rate that this router grants, 0 to 1.
          now: Present time in seconds.
        """
        rate = self.observation.rate
        if rate is None:
            return Grant(True)
        self._refill(now, share)
        needed = 1.0 + share * _compute_kept(rank, rate)
        if self._tokens >= needed:
            self._tokens -= 1.0
            return Grant(True)
        refill_rate = share * max(rate, PROBE_RATE_PER_S)
        return Grant(False, (needed - self._tokens) / refill_rate)

    def charge(self, now: float) -> None:
        """Takes a token for a request that was sent without a grant."""
        rate = self.observation.rate
        if rate is None:
            return
        self._refill(now)
        debt_max = max(1.0, DEBT_MAX_S * rate)
        self._tokens = max(-debt_max, self._tokens - 1.0)

    def _refill(self, now: float, share: float = 1.0) -> None:
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        rate = self.observation.rate
        if rate is None:
            return
        refilled = elapsed_s * share * max(rate, PROBE_RATE_PER_S)
        burst = max(1.0, share * _compute_burst(rate))
        self._tokens = min(burst, self._tokens + refilled)


def _compute_burst(rate: float) -> float:
    return BURST_REQUESTS + BURST_S * rate


def _compute_kept(rank: int, rate: float) -> float:
    """Returns the tokens that a request of a rank leaves for higher ones."""
    fraction = KEPT_FRACTION_MAX * min(max(rank, 0), RANK_MAX) / RANK_MAX
    return fraction * min(_compute_burst(rate) - 1.0, KEPT_MAX_S * rate)


def compute_share(is_first_owner: bool, live: int, listed: int) -> float:
    """Returns the part of a rate limit that this router grants, 0 to 1.

    A router that sees fewer than half of the others may be cut off from them,
    and another one may own the count as well.

    Args:
      is_first_owner: Whether it owns the count among the live routers.
      live: Number of other live routers.
      listed: Number of other listed routers.
    """
    if not is_first_owner or 2 * live < listed:
        return STAND_IN_SHARE
    return 1.0


class LocalShare:
    """What one router sends to a replica whose owner does not reply.

    All routers together stay within OWNERLESS_SHARE of the rate: each sends one
    request per interval, and their first ones are spread over the interval.
    """

    def __init__(self, phase: float, now: float) -> None:
        """Starts the first interval.

        Args:
          phase: Part of the interval before the first request, 0 to 1; differs
            between routers.
          now: Present time in seconds.
        """
        self._due = phase
        self._updated_at = now

    def take(self, rate: float, router_count: int, now: float) -> bool:
        """Returns whether a request may be sent, and counts it.

        Args:
          rate: The rate limit in requests per second.
          router_count: Number of routers, this one included.
          now: Present time in seconds.
        """
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        own_rate = OWNERLESS_SHARE * max(rate, PROBE_RATE_PER_S) / router_count
        self._due = max(0.0, self._due - elapsed_s * own_rate)
        if self._due > 0:
            return False
        self._due = 1.0
        return True


def compute_return_s(wait_s: float, fraction: float) -> float:
    """Returns after which time a rejected client should return, in seconds.

    Args:
      wait_s: Time until a request is likely to be granted.
      fraction: Position of the client among all, 0 to 1.
    """
    return max(RETURN_MIN_S, wait_s) + RETURN_SPREAD_S * fraction
