"""Checks whether a request may be sent to the replica chosen for it."""

from __future__ import annotations

import dataclasses

from agatedock.decisions import admission
from agatedock.decisions import placement
from agatedock.decisions import shares
from agatedock.domain import configuration
from agatedock.serving import request_errors
from agatedock.serving import state
from agatedock.views import occupancy

# Retry-After when a request failed but another attempt may succeed.
DEFAULT_RETRY_AFTER_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What limits the wait of a request.

    Attributes:
      target_latency_s: Target latency of its route.
      remaining_s: Time until its client or its route times out.
      has_prompt: Whether replicas queue it by rank.
      floors: Guaranteed share of each rank; empty if no rank has one.
    """

    target_latency_s: float
    remaining_s: float
    has_prompt: bool
    floors: tuple[float, ...]


def check_drain(
    shared: state.SharedState,
    route: configuration.Route,
    service: str,
    now: float,
) -> None:
    """Rejects a request that would be cut when the router shuts down.

    Raises:
      request_errors.RequestError: It would take longer than there is time.
    """
    expected_s = max(shared.durations.mean_s(service), route.target_latency_s)
    if shared.drain.can_finish(expected_s, now):
        return
    raise request_errors.RequestError(
        request_errors.ErrorCode.STOPPING,
        f"it would take {expected_s:.2f} s",
        retry_after_s=DEFAULT_RETRY_AFTER_S,
    )


def check_admission(
    shared: state.SharedState,
    flow: occupancy.Flow,
    chosen: placement.Placement,
    limits: Limits,
    now: float,
) -> None:
    """Applies admission control if the chosen replica is at capacity.

    Raises:
      request_errors.RequestError: The request would wait too long, or the flow
        exceeds its share.
    """
    if not admission.is_full(chosen.running, chosen.replica.slots):
        return
    # Replicas queue prompts by rank (priority class, 0 is highest) and other
    # requests first in, first out.
    fraction_ahead = 1.0
    if limits.has_prompt:
        fraction_ahead = shared.occupancy.fraction_ahead(
            flow.service, flow.rank
        )
    queue = admission.QueueState(
        running=chosen.running,
        slots=chosen.replica.slots,
        # The target latency serves as estimate until a request was served.
        duration_s=shared.durations.mean_s(flow.service)
        or limits.target_latency_s,
        target_latency_s=limits.target_latency_s,
        remaining_s=limits.remaining_s,
        fraction_ahead=fraction_ahead,
        exceeds_share=shares.exceeds_share(
            shared.occupancy,
            flow,
            limits.floors,
            shared.compute_slot_share(flow.service, now),
            now,
        ),
    )
    decision = admission.decide(queue)
    if decision.admitted:
        return
    reason = request_errors.ErrorCode.OVERLOADED
    if queue.exceeds_share:
        reason = request_errors.ErrorCode.OVER_SHARE
    raise request_errors.RequestError(
        reason,
        f"{chosen.running} requests at {chosen.replica.replica_id}, "
        f"which runs {chosen.replica.slots}",
        retry_after_s=decision.retry_after_s,
    )
