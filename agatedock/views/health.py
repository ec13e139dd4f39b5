"""Health of replicas: failure rates and suspensions.

It is derived from the results of requests alone; there are no health checks.
"""

from __future__ import annotations

from collections.abc import Set
import dataclasses

# Shortest and longest time for which an unreachable replica is suspended. The
# time doubles with each suspension until a request succeeds.
SUSPEND_MIN_S = 0.5
SUSPEND_MAX_S = 4.0
# Weight of the latest response in the moving average of failures.
FAILURE_RATE_EWMA_ALPHA = 0.15
# The failure rate halves in this time while there are no responses.
FAILURE_RATE_HALF_LIFE_S = 3.0
# A replica that has sent data within this time is reachable, so it is not
# suspended when a connection breaks or a request times out.
ACTIVE_RECENTLY_S = 0.4
# A replica with a lower failure rate is not degraded.
FAILURE_RATE_MIN = 0.02


@dataclasses.dataclass(slots=True)
class HealthStatus:
    """Health of one replica; times in seconds.

    Attributes:
      failure_rate: Moving average of failures, 0 to 1, as of `failure_rate_at`.
      failure_rate_at: When the failure rate was last updated.
      last_activity_at: When the replica last sent any data.
      suspended_until: End of the latest suspension.
      suspend_s: Length of the next suspension.
    """

    failure_rate: float = 0.0
    failure_rate_at: float = 0.0
    last_activity_at: float = float("-inf")
    suspended_until: float = float("-inf")
    suspend_s: float = SUSPEND_MIN_S


class ReplicaHealth:
    """The health of every replica that this router has sent requests to."""

    def __init__(self) -> None:
        self._by_id: dict[str, HealthStatus] = {}
        # Replicas that failed or are suspended; entries that have recovered are
        # removed by `list_degraded`.
        self._degraded: set[str] = set()

    def record_activity(self, replica_id: str, now: float) -> None:
        """Records that a replica sent some data."""
        self._get(replica_id).last_activity_at = now

    def get_last_activity_at(self, replica_id: str) -> float:
        """Returns when a replica last sent any data, in seconds."""
        status = self._by_id.get(replica_id)
        return float("-inf") if status is None else status.last_activity_at

    def record_result(self, replica_id: str, ok: bool, now: float) -> None:
        """Records whether a request that reached a replica succeeded."""
        status = self._get(replica_id)
        status.last_activity_at = now
        if ok:
            status.suspend_s = SUSPEND_MIN_S
        decayed_rate = self._decay_rate(status, now)
        sample = 0.0 if ok else 1.0
        status.failure_rate = decayed_rate + FAILURE_RATE_EWMA_ALPHA * (
            sample - decayed_rate
        )
        status.failure_rate_at = now
        if not ok:
            self._degraded.add(replica_id)

    def record_unreachable(self, replica_id: str, now: float) -> None:
        """Records that a connection failed or broke, or a request timed out.

        The replica is suspended, unless it has sent data a moment ago: then it
        counts as a failed request.
        """
        status = self._get(replica_id)
        if now - status.last_activity_at < ACTIVE_RECENTLY_S:
            self.record_result(replica_id, False, now)
            return
        status.suspended_until = now + status.suspend_s
        self._degraded.add(replica_id)
        status.suspend_s = min(SUSPEND_MAX_S, 2 * status.suspend_s)

    def suspend(self, replica_id: str, until: float) -> None:
        """Suspends a replica that another router says is draining."""
        status = self._get(replica_id)
        status.suspended_until = max(status.suspended_until, until)
        self._degraded.add(replica_id)

    def is_suspended(self, replica_id: str, now: float) -> bool:
        """Returns whether a replica is suspended, as it was unreachable."""
        status = self._by_id.get(replica_id)
        return status is not None and now < status.suspended_until

    def failure_rate(self, replica_id: str, now: float) -> float:
        """Returns the decaying average of failed responses, 0 to 1."""
        status = self._by_id.get(replica_id)
        return self._decay_rate(status, now) if status else 0.0

    def list_degraded(self, now: float) -> Set[str]:
        """Returns the ids of replicas that are suspended or failed recently."""
        for replica_id in list(self._degraded):
            failing = self.failure_rate(replica_id, now) >= FAILURE_RATE_MIN
            if not failing and not self.is_suspended(replica_id, now):
                self._degraded.discard(replica_id)
        return self._degraded

    def forget(self, replica_id: str) -> None:
        """Removes a replica that no longer exists."""
        self._by_id.pop(replica_id, None)
        self._degraded.discard(replica_id)

    def _get(self, replica_id: str) -> HealthStatus:
        return self._by_id.setdefault(replica_id, HealthStatus())

    def _decay_rate(self, status: HealthStatus, now: float) -> float:
        age_s = max(0.0, now - status.failure_rate_at)
        return status.failure_rate * 0.5 ** (age_s / FAILURE_RATE_HALF_LIFE_S)
