"""Admission control: rejects requests that could not be served in time.

Handles overload: a request that would wait too long for a free slot is rejected
before it is sent to a replica. The rejection carries a Retry-After time by
which a slot is expected to be free, so that clients retry instead of queueing.
"""

from __future__ import annotations

import dataclasses

# Limits of the Retry-After time of a rejection.
RETRY_AFTER_MIN_S = 0.2
RETRY_AFTER_MAX_S = 3.0
# Longest expected wait of an admitted request, in multiples of its target
# latency.
WAIT_TARGET_RATIO_MAX = 2.0
# Retry-After time when a service has no usable replica; one is expected back by
# then.
NO_REPLICA_RETRY_AFTER_S = 1.0
# Weight of the latest sample in the moving average of request durations.
DURATION_EWMA_ALPHA = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Whether a request is admitted.

    Attributes:
      admitted: Whether it may be sent to the replica.
      wait_s: Expected wait for a free slot.
      retry_after_s: When a rejected client should retry; 0 if admitted.
    """

    admitted: bool
    wait_s: float
    retry_after_s: float = 0.0


class Durations:
    """Moving average of the time that a request occupies a slot, by service."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def record(self, service: str, duration_s: float) -> None:
        """Adds the duration of one completed request to the average."""
        mean = self._means.get(service, duration_s)
        self._means[service] = mean + DURATION_EWMA_ALPHA * (duration_s - mean)

    def mean_s(self, service: str) -> float:
        """Returns the mean duration in seconds, 0 without a sample."""
        return self._means.get(service, 0.0)


def is_full(running: int, slots: int) -> bool:
    """Returns whether one more request would have to wait at a replica.

    Args:
      running: Requests at the replica.
      slots: Requests that it runs at once; 0 if unknown, then it is never full.
    """
    return 0 < slots <= running


@dataclasses.dataclass(frozen=True, slots=True)
class QueueState:
    """Load at the replica that was chosen for a request.

    Attributes:
      running: Requests at the replica, both running and waiting.
      slots: Requests that it runs at once; 0 if unknown.
      duration_s: Mean time that a request occupies a slot.
      target_latency_s: Target latency of the request's route.
      remaining_s: Time until the client times out.
      fraction_ahead: Fraction of `running` that is served before this request,
        0 to 1.
      exceeds_share: Whether the request would use capacity that is guaranteed
        to other ranks or accounts.
    """

    running: int
    slots: int
    duration_s: float
    target_latency_s: float
    remaining_s: float
    fraction_ahead: float = 1.0
    exceeds_share: bool = False


def decide(queue: QueueState) -> Decision:
    """Admits a request if it gets a slot in time and stays in its share.

    The expected wait must leave time for the request itself within the client
    timeout, and must not exceed `WAIT_TARGET_RATIO_MAX` target latencies.
    """
    if not is_full(queue.running, queue.slots):
        return Decision(admitted=True, wait_s=0.0)
    slot_s = queue.duration_s / queue.slots
    requests_ahead = queue.fraction_ahead * queue.running
    wait_s = max(0.0, requests_ahead - queue.slots + 1) * slot_s
    limit_s = min(
        WAIT_TARGET_RATIO_MAX * queue.target_latency_s,
        queue.remaining_s - queue.duration_s,
    )
    if wait_s <= limit_s and not queue.exceeds_share:
        return Decision(admitted=True, wait_s=wait_s)
    delay_s = wait_s - queue.target_latency_s / 2
    if queue.exceeds_share:
        # Time until the replica has a free slot again, whoever takes it.
        delay_s = (queue.running - queue.slots + 1) * slot_s
    return Decision(
        admitted=False,
        wait_s=wait_s,
        retry_after_s=min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, delay_s)),
    )
