"""Decides when a replica that sends nothing is taken for lost.

Answers replicas that go dark: they neither answer nor reset a connection, so
requests wait for them until some timeout, and new ones follow. A replica that
works sends something to one of its callers all the time. How long nothing may
come follows from what callers wait for: a stream whose pause is over its limit,
or a response whose target latency is over, is late already.
"""

from __future__ import annotations

from agatedock.domain import configuration

# Silence before a response begins, as a multiple of the target latency, and at
# least: a replica may read one long prompt for so long.
HEAD_FACTOR = 1.5
HEAD_MIN_S = 0.8
# Silence within a stream, as a multiple of the longest pause for which it is on
# time, and at least: two lost packets in a row take that long.
GAP_FACTOR = 1.5
GAP_MIN_S = 0.6
# Time for which others are preferred to a silent replica, unless it sends
# something before.
AVOIDED_S = 2.0


def compute_limit_s(route: configuration.Route, has_begun: bool) -> float:
    """Returns how long a replica may send nothing while a request waits.

    Args:
      route: The route of the request.
      has_begun: Whether its response has begun.
    """
    if has_begun and route.target_gap_s:
        return max(GAP_MIN_S, GAP_FACTOR * route.target_gap_s)
    return max(HEAD_MIN_S, HEAD_FACTOR * route.target_latency_s)


def compute_wait_s(
    limit_s: float, sent_at: float, last_at: float, now: float
) -> float:
    """Returns the time until a replica counts as silent; 0 if it does.

    Args:
      limit_s: How long it may send nothing.
      sent_at: When the request that waits was sent, in seconds.
      last_at: When the replica last sent anything to this router.
      now: Present time in seconds.
    """
    return max(0.0, max(sent_at, last_at) + limit_s - now)
