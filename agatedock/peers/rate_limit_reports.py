"""Encodes what a router knows of a rate limit for other routers."""

from __future__ import annotations

import math

from agatedock.decisions import rate_limits
from agatedock.peers import messages

# Limit of the age in a report.
AGE_MAX_S = 1e6
_MS_PER_S = 1000
_MILLI = 1000


def encode(
    observation: rate_limits.Observation | None, now: float
) -> messages.RateLimitReport | None:
    """Returns an observation for another router."""
    if observation is None:
        return None
    rate = observation.rate
    age_s = min(AGE_MAX_S, max(0.0, now - observation.at))
    return messages.RateLimitReport(
        None if rate is None else math.ceil(rate * _MILLI),
        int(age_s * _MS_PER_S),
    )


def decode(
    report: messages.RateLimitReport | None, now: float
) -> rate_limits.Observation | None:
    """Returns another router's observation; None if it cannot be used."""
    if report is None:
        return None
    rate = None if report.rate_milli is None else report.rate_milli / _MILLI
    if rate is not None and not 0 <= rate <= rate_limits.RATE_MAX_PER_S:
        return None
    age_s = min(AGE_MAX_S, max(0.0, report.age_ms / _MS_PER_S))
    return rate_limits.Observation(rate, now - age_s)
