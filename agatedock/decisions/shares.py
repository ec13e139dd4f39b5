"""Decides which requests exceed their fair share when a service is full.

A rank is a priority class, 0 the highest. A floor is the share of a service
that is guaranteed to a rank. Two cases are handled: a rank that floods the
service must leave the other ranks their floors, and an account that sends far
more than the others of its rank must leave them their fair shares.
"""

from __future__ import annotations

from typing import Protocol

from agatedock.views import occupancy

# Requests that every account may run at once, however small its fair share.
ACCOUNT_RUNNING_MIN = 2
# An account may run this multiple of its fair share, as each router computes
# the shares from its own requests only, and requests differ in size.
FAIR_SHARE_FACTOR = 1.5


class OccupancyView(Protocol):
    """This router's running requests by service, rank and account."""

    def count_rank(self, service: str, rank: int) -> int:
        """Returns the running requests of a rank."""

    def count_flow(self, flow: occupancy.Flow) -> int:
        """Returns the running requests of an account in a rank."""

    def has_demand(self, service: str, rank: int, now: float) -> bool:
        """Returns whether a rank has sent requests recently."""

    def sum_weights(self, service: str, rank: int, now: float) -> float:
        """Returns the sum of the weights of all active accounts of a rank."""


def exceeds_share(
    view: OccupancyView,
    flow: occupancy.Flow,
    floors: tuple[float, ...],
    capacity: float,
    now: float,
) -> bool:
    """Returns whether one more request would exceed the share of its flow.

    Args:
      view: This router's running requests.
      flow: Service, rank and account of the request.
      floors: Guaranteed share of each rank; empty if no rank has one.
      capacity: This router's part of the slots of the service.
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
    """Returns whether one more request would cut into other ranks' floors.

    Replicas run requests of higher ranks first. Without this limit, a rank that
    fills their queues would leave no slots to the ranks below it.
    """
    if flow.rank >= len(floors) or capacity <= 0:
        return False
    guaranteed = 0.0
    for rank, floor in enumerate(floors):
        has_demand = view.has_demand(flow.service, rank, now)
        if rank == flow.rank or not has_demand:
            continue
        # One more than it runs, so that it can grow up to its floor.
        needed = (view.count_rank(flow.service, rank) + 1) / capacity
        guaranteed += min(floor, needed)
    if not guaranteed:
        return False
    running_max = max(floors[flow.rank], 1.0 - guaranteed) * capacity
    return view.count_rank(flow.service, flow.rank) + 1 > running_max


def _exceeds_account_share(
    view: OccupancyView, flow: occupancy.Flow, now: float
) -> bool:
    """Returns whether one more request would exceed an account's fair share.

    The fair share is the account's part, by weight, of the running requests of
    its rank. An account that is alone in its rank has no limit.
    """
    own = view.count_flow(flow) + 1
    if own <= ACCOUNT_RUNNING_MIN:
        return False
    weights = view.sum_weights(flow.service, flow.rank, now)
    if weights <= flow.weight:
        return False
    running = view.count_rank(flow.service, flow.rank) + 1
    fair = running * flow.weight / weights
    return own > FAIR_SHARE_FACTOR * fair
