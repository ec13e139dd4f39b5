"""Decides which share of a failure domain's requests leaves it.

Answers demand and replicas that are uneven between failure domains. Traffic
between domains is slower, is lost more often and costs money, so requests that
gain nothing elsewhere stay while the replicas of their own domain have room.
Beyond that a share of them leaves. The hash of a request decides whether it
belongs to the share, so all routers of a domain agree without messages.

Requests with long prompts are not decided here: reading a prompt part again
takes longer than the way to the replica that has it.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import math

from agatedock import hashing
from agatedock.domain import replicas

# Part of a domain's slots that its own requests fill before some leave. Above
# it, a request often waits for a slot that others take meanwhile.
ROOM_FRACTION = 0.7
# Requests cease to leave once the demand is below this part of the slots.
RETURN_FRACTION = 0.55
# The share changes in steps, so that routers whose counts differ a little
# compute the same one.
SHARE_STEP = 1 / 8
_HASH_RANGE = 2**32


@dataclasses.dataclass(frozen=True, slots=True)
class DomainLoad:
    """Demand and capacity of one or several failure domains.

    Attributes:
      demand: Running requests of the clients of these domains.
      slots: Requests that the replicas there run at once.
    """

    demand: float
    slots: int


def compute_leaving_share(
    own: DomainLoad, others: DomainLoad, share_before: float
) -> float:
    """Returns the share of a domain's requests that leave it, 0 to 1.

    Up to ROOM_FRACTION of the slots nothing leaves. If all domains together are
    fuller than that, the share evens them out, since a wait is no shorter in
    another full domain.

    Args:
      own: The domain.
      others: All other domains together.
      share_before: The share that was decided last.
    """
    if not own.slots:
        return 1.0
    if not others.slots or own.demand <= 0:
        return 0.0
    fullness = (own.demand + others.demand) / (own.slots + others.slots)
    begins_at = RETURN_FRACTION if share_before else ROOM_FRACTION
    if own.demand <= begins_at * own.slots:
        return 0.0
    room = max(ROOM_FRACTION, fullness) * own.slots
    steps = math.ceil(max(0.0, 1 - room / own.demand) / SHARE_STEP)
    return min(1.0, steps * SHARE_STEP)


def leaves(request_id: str, share: float) -> bool:
    """Returns whether a request belongs to the share that leaves."""
    return hashing.hash_name(f"leave {request_id}") < share * _HASH_RANGE


def split(
    candidates: Sequence[replicas.Replica], domain: str, is_leaving: bool
) -> tuple[list[replicas.Replica], list[replicas.Replica]]:
    """Returns the replicas to choose from first, and those to use after them.

    Args:
      candidates: The replicas that a request may go to; at least one.
      domain: The failure domain of its router.
      is_leaving: Whether it leaves the domain.
    """
    own = [item for item in candidates if item.zone == domain]
    others = [item for item in candidates if item.zone != domain]
    first, second = (others, own) if is_leaving else (own, others)
    return (first, second) if first else (second, first)
