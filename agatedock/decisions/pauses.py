"""Keeps requests away from replicas that asked for a pause.

Answers the load of a replica that is full or recovering: it rejects a request
and says for how long it wants no other from this router. Sending it more would
cost the replica time and the callers a failed attempt each.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import math

from agatedock import hashing
from agatedock.domain import replicas

# Longest pause; a replica that wants more is asked again after it.
PAUSE_MAX_S = 300.0
# Pause if the replica's value cannot be read or is negative.
PAUSE_DEFAULT_S = 1.0
# Pauses that are remembered; those that end first are dropped.
PAUSES_MAX = 1000
# Time after the end of a pause over which rejected clients are told to return.
RETURN_SPREAD_S = 0.5
_HASH_RANGE = 2**32


def parse_pause_s(text: str) -> float | None:
    """Returns a value of Retry-After in seconds, at most PAUSE_MAX_S.

    Returns None if it is not a number of seconds, or is negative.
    """
    try:
        value_s = float(text)
    except ValueError:
        return None
    if math.isnan(value_s) or value_s < 0:
        return None
    return min(PAUSE_MAX_S, value_s)


def compute_return_s(wait_s: float, request_id: str) -> float:
    """Returns after which time a rejected client should return, in seconds.

    Clients are spread by the hash of their request's id.

    Args:
      wait_s: Time until the first replica is available again.
      request_id: Id of the rejected request.
    """
    fraction = hashing.hash_name(request_id) / _HASH_RANGE
    return wait_s + RETURN_SPREAD_S * fraction


@dataclasses.dataclass(frozen=True, slots=True)
class _Pause:
    """A pause that a replica asked for.

    Attributes:
      lifetime: The run that was listed then.
      asked_at_ms: Unix time of its response in milliseconds.
      ends_at: When the pause ends, in seconds of the router's clock.
    """

    lifetime: replicas.Lifetime
    asked_at_ms: int
    ends_at: float

    def applies_to(self, replica: replicas.Replica) -> bool:
        """Returns whether a run asked for this pause."""
        return (
            replica.lifetime == self.lifetime
            or replica.may_have_answered_for(self.lifetime, self.asked_at_ms)
        )


class Pauses:
    """The pauses that replicas asked for.

    A later run under the same id or address is not paused.
    """

    def __init__(self) -> None:
        self._by_id: dict[str, _Pause] = {}

    def record(
        self,
        replica: replicas.Replica,
        pause_s: float,
        now: float,
        wall_ms: int,
    ) -> None:
        """Records a pause; it does not shorten one that is longer.

        Args:
          replica: The replica that asked for it.
          pause_s: How long it is to get no requests.
          now: Present time in seconds.
          wall_ms: Present time in Unix milliseconds.
        """
        ends_at = now + min(PAUSE_MAX_S, pause_s)
        known = self._by_id.get(replica.replica_id)
        if known is not None and known.applies_to(replica):
            ends_at = max(ends_at, known.ends_at)
        self._by_id[replica.replica_id] = _Pause(
            replica.lifetime, wall_ms, ends_at
        )
        if len(self._by_id) > PAUSES_MAX:
            self._drop_ended(now)
        if len(self._by_id) > PAUSES_MAX:
            del self._by_id[min(self._by_id, key=self._get_end)]

    def _get_end(self, replica_id: str) -> float:
        return self._by_id[replica_id].ends_at

    def _get_remaining_s(self, replica: replicas.Replica, now: float) -> float:
        pause = self._by_id.get(replica.replica_id)
        if pause is None or not pause.applies_to(replica):
            return 0.0
        return max(0.0, pause.ends_at - now)

    def is_paused(self, replica: replicas.Replica, now: float) -> bool:
        """Returns whether a replica is to get no requests at present."""
        return self._get_remaining_s(replica, now) > 0

    def list_available(
        self, usable: list[replicas.Replica], now: float
    ) -> list[replicas.Replica]:
        """Returns the replicas that are not paused, in the same order."""
        self._drop_ended(now)
        if not self._by_id:
            return usable
        return [item for item in usable if not self.is_paused(item, now)]

    def compute_wait_s(
        self, usable: Iterable[replicas.Replica], now: float
    ) -> float:
        """Returns the seconds until the first of some replicas is available."""
        waits_s = (self._get_remaining_s(item, now) for item in usable)
        return min(waits_s, default=0.0)

    def count(self, now: float) -> int:
        """Returns the number of replicas that are paused."""
        self._drop_ended(now)
        return len(self._by_id)

    def _drop_ended(self, now: float) -> None:
        ended = [
            replica_id
            for replica_id, pause in self._by_id.items()
            if pause.ends_at <= now
        ]
        for replica_id in ended:
            del self._by_id[replica_id]
