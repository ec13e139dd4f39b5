"""Refuses requests that could not be served in time.

Answers the load of more work than the replicas can do: a request whose turn
would come after its target is refused before it is sent, with the time at
which there will be room, so that callers come back instead of queueing.
"""

from __future__ import annotations

import dataclasses

# A refused caller is not told to come back sooner, nor later than this.
RETRY_AFTER_MIN_S = 0.2
RETRY_AFTER_MAX_S = 3.0
# Expected wait, in multiples of the target, from which a request is refused.
WAIT_TARGET_RATIO_MAX = 2.0
# How long until a replica that is missing is expected back.
NO_REPLICA_RETRY_AFTER_S = 1.0
# Weight of the latest duration in the mean duration of a service's requests.
DURATION_EWMA_ALPHA = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Whether a request is admitted, and if not when to come back."""

    admitted: bool
    wait_s: float
    retry_after_s: float = 0.0


class Durations:
    """Mean time that a request occupies a slot, by service, in seconds."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def record(self, service: str, duration_s: float) -> None:
        """Learns how long one request took."""
        mean = self._means.get(service, duration_s)
        self._means[service] = mean + DURATION_EWMA_ALPHA * (duration_s - mean)

    def mean_s(self, service: str) -> float:
        """Returns the mean duration, 0 if none is known."""
        return self._means.get(service, 0.0)


def is_full(running: int, slots: int) -> bool:
    """Tells whether one more request would have to wait at a replica."""
    return 0 < slots <= running


@dataclasses.dataclass(frozen=True, slots=True)
class QueueState:
    """What a request would meet at the replica that was chosen for it.

    Attributes:
      running: Requests at the replica, running and waiting.
      slots: Requests that it runs at once; 0 if unknown.
      duration_s: Mean time that a request occupies a slot.
      target_s: Time within which the answer is on time.
      left_s: Time until the client gives up.
      ahead: Share of those requests that go before this one.
      passes_share: Whether it would take what others are owed.
    """

    running: int
    slots: int
    duration_s: float
    target_latency_s: float
    remaining_s: float
    fraction_ahead: float = 1.0
    exceeds_share: bool = False


def decide(queue: QueueState) -> Decision:
    """Admits a request if its turn at a replica comes in time."""
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
        # As long as it takes until the replica has room for anybody.
        delay_s = (queue.running - queue.slots + 1) * slot_s
    return Decision(
        admitted=False,
        wait_s=wait_s,
        retry_after_s=min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, delay_s)),
    )
