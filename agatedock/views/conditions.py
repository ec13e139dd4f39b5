"""How replicas have answered lately, judged by requests alone."""

from __future__ import annotations

from collections.abc import Set
import dataclasses

# Shortest and longest time a replica that cannot be reached is left alone.
SUSPEND_MIN_S = 0.5
SUSPEND_MAX_S = 4.0
# Weight of the latest answer in the failure rate.
FAILURE_RATE_EWMA_ALPHA = 0.15
# The failure rate halves in this time without any answer.
FAILURE_RATE_HALF_LIFE_S = 3.0
# A replica that has answered others within this time is not silent.
ACTIVE_RECENTLY_S = 0.4
# A lower failure rate is none.
FAILURE_RATE_MIN = 0.02


@dataclasses.dataclass(slots=True)
class HealthStatus:
    """What is known of one replica; times in seconds."""

    failure_rate: float = 0.0
    failure_rate_at: float = 0.0
    last_activity_at: float = float("-inf")
    suspended_until: float = float("-inf")
    suspend_s: float = SUSPEND_MIN_S


class ReplicaHealth:
    """The condition of every replica that was asked lately."""

    def __init__(self) -> None:
        self._by_id: dict[str, HealthStatus] = {}
        # Those that failed or are left alone, until that is over.
        self._degraded: set[str] = set()

    def record_activity(self, replica_id: str, now: float) -> None:
        """Learns that some bytes came from a replica."""
        self._get(replica_id).last_activity_at = now

    def record_result(self, replica_id: str, ok: bool, now: float) -> None:
        """Learns a complete answer, good or bad."""
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
        """Learns that a replica refused, reset or ignored a request."""
        status = self._get(replica_id)
        if now - status.last_activity_at < ACTIVE_RECENTLY_S:
            self.record_result(replica_id, False, now)
            return
        status.suspended_until = now + status.suspend_s
        self._degraded.add(replica_id)
        status.suspend_s = min(SUSPEND_MAX_S, 2 * status.suspend_s)

    def is_suspended(self, replica_id: str, now: float) -> bool:
        """Tells whether a replica is left alone for now."""
        status = self._by_id.get(replica_id)
        return status is not None and now < status.suspended_until

    def failure_rate(self, replica_id: str, now: float) -> float:
        """Returns the share of failed answers lately, 0 to 1."""
        status = self._by_id.get(replica_id)
        return self._decay_rate(status, now) if status else 0.0

    def list_degraded(self, now: float) -> Set[str]:
        """Returns the replicas that failed or are left alone lately."""
        for replica_id in list(self._degraded):
            failing = self.failure_rate(replica_id, now) >= FAILURE_RATE_MIN
            if not failing and not self.is_suspended(replica_id, now):
                self._degraded.discard(replica_id)
        return self._degraded

    def forget(self, replica_id: str) -> None:
        """Drops what is known of a replica that is gone."""
        self._by_id.pop(replica_id, None)
        self._degraded.discard(replica_id)

    def _get(self, replica_id: str) -> HealthStatus:
        return self._by_id.setdefault(replica_id, HealthStatus())

    def _decay_rate(self, status: HealthStatus, now: float) -> float:
        age_s = max(0.0, now - status.failure_rate_at)
        return status.failure_rate * 0.5 ** (age_s / FAILURE_RATE_HALF_LIFE_S)
