"""Whose requests give way when a service is full.

Answers two loads: a flood of one rank, in which the other ranks keep their
floors, and a few accounts that ask for far more than the others of their rank.
"""

from __future__ import annotations

from typing import Protocol

from agatedock.views import occupancy

# Running requests that every account may have, however small its share.
ACCOUNT_RUNNING_MIN = 2
# An account may hold this multiple of its fair share: shares are counted by
# each router alone, and requests differ in size.
FAIR_SHARE_FACTOR = 1.5


class OccupancyView(Protocol):
    """Running requests of this router."""

    def count_rank(self, service: str, rank: int) -> int:
        """Returns the running requests of a rank."""

    def count_flow(self, flow: occupancy.Flow) -> int:
        """Returns the running requests of an account in a rank."""

    def has_demand(self, service: str, rank: int, now: float) -> bool:
        """Tells whether a rank has asked lately."""

    def sum_weights(self, service: str, rank: int, now: float) -> float:
        """Returns the weights of all accounts that run or asked lately."""


def exceeds_share(
    view: OccupancyView,
    flow: occupancy.Flow,
    floors: tuple[float, ...],
    capacity: float,
    now: float,
) -> bool:
    """Tells whether one more request would take what others are owed.

    Args:
      view: What runs.
      flow: On whose behalf the request would run.
      floors: Share that each rank keeps; empty if none does.
      capacity: Slots of the service that fall to this router.
      now: Present time in seconds.
    """
    return _violates_floors(
        view, flow, floors, capacity, now
    ) or _exceeds_account_share(view, flow, now)


def _violates_floors(
    view: OccupancyView,
    flow: occupancy.Flow,
    floors: tuple[float, ...],
    capacity: float,
    now: float,
) -> bool:
    """Tells whether a rank leaves too little to ranks that want more.

    Replicas take the most urgent requests first, so a rank that could fill
    their queues would leave nothing to the others.
    """
    if flow.rank >= len(floors) or capacity <= 0:
        return False
    guaranteed = 0.0
    for rank, floor in enumerate(floors):
        has_demand = view.has_demand(flow.service, rank, now)
        if rank == flow.rank or not has_demand:
            continue
        # One more than it has, so that it can grow up to its floor.
        needed = (view.count_rank(flow.service, rank) + 1) / capacity
        guaranteed += min(floor, needed)
    if not guaranteed:
        return False
    running_max = max(floors[flow.rank], 1.0 - guaranteed) * capacity
    return view.count_rank(flow.service, flow.rank) + 1 > running_max


def _exceeds_account_share(
    view: OccupancyView, flow: occupancy.Flow, now: float
) -> bool:
    """Tells whether an account has more than its share of its rank."""
    own = view.count_flow(flow) + 1
    if own <= ACCOUNT_RUNNING_MIN:
        return False
    weights = view.sum_weights(flow.service, flow.rank, now)
    if weights <= flow.weight:
        return False
    running = view.count_rank(flow.service, flow.rank) + 1
    fair = running * flow.weight / weights
    return own > FAIR_SHARE_FACTOR * fair
