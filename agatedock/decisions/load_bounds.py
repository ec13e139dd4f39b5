"""Decides how many requests a replica may run, by the mean of its service."""

from __future__ import annotations

from collections.abc import Sequence
import math

from agatedock.decisions import fleet_view
from agatedock.domain import configuration
from agatedock.domain import replicas

# Fractions of a service's load bound that placements use: of the factor above
# 1, and of the slack. The rest covers the error of the mean, which is up to a
# few seconds old.
BOUND_FACTOR_FRACTION = 1 / 2
BOUND_SLACK_FRACTION = 1 / 2


def compute_mean(
    service: str,
    usable: Sequence[replicas.Replica],
    limited_ids: frozenset[str],
    view: fleet_view.FleetView,
) -> float:
    """Returns the mean of running requests over the replicas of a service.

    Replicas with a rate limit are left out, unless there are no others: they
    carry less than the others can, so they would lower the bound of those.

    Args:
      service: Name of the service.
      usable: Its replicas that accept new requests.
      limited_ids: Ids of those with a rate limit.
      view: Counts of running requests.
    """
    running = view.count_running(service)
    unlimited_count = len(usable) - len(limited_ids)
    if not limited_ids or not unlimited_count:
        return running / len(usable)
    running -= sum(map(view.loads.count_total, limited_ids))
    return max(0, running) / unlimited_count


def compute_max_running(bound: configuration.LoadBound, mean: float) -> int:
    """Returns how many requests a replica may run at once.

    Args:
      bound: The load bound of the service, of which a part is used.
      mean: Mean of running requests over the service's replicas.
    """
    factor = 1 + (bound.factor - 1) * BOUND_FACTOR_FRACTION
    return math.ceil(factor * mean + bound.slack * BOUND_SLACK_FRACTION)
