"""Keeps requests away from replicas that asked for a pause.

Answers the load of a replica that is full or recovering: it rejects a request
and says for how long it wants no other from this router. Sending it more would
cost the replica time and the callers a failed attempt each.
"""

from __future__ import annotations

from collections.abc import Iterable
import math

from agatedock import hashing
from agatedock.domain import replicas

# Longest pause; a replica that wants more is asked again after it.
PAUSE_MAX_S = 300.0
# Pause if the replica's value cannot be read or is negative.
PAUSE_DEFAULT_S = 1.0
# Runs of replicas that are remembered; those that end first are dropped.
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


class Pauses:
    """The ends of pauses, by run of a replica.

    A later run under the same id or address is not paused.
    """

    def __init__(self) -> None:
        # In seconds of the router's clock.
        self._ends_at: dict[replicas.Lifetime, float] = {}

    def record(
        self, replica: replicas.Replica, pause_s: float, now: float
    ) -> None:
        """Records a pause; it does not shorten one that is longer.

        Args:
          replica: The replica that asked for it.
          pause_s: How long it is to get no requests.
          now: Present time in seconds.
        """
        ends_at = max(
            now + min(PAUSE_MAX_S, pause_s),
            self._ends_at.get(replica.lifetime, now),
        )
        self._ends_at[replica.lifetime] = ends_at
        if len(self._ends_at) > PAUSES_MAX:
            self._drop_ended(now)
        if len(self._ends_at) > PAUSES_MAX:
            del self._ends_at[min(self._ends_at, key=self._ends_at.__getitem__)]

    def is_paused(self, replica: replicas.Replica, now: float) -> bool:
        """Returns whether a replica is to get no requests at present."""
        return now < self._ends_at.get(replica.lifetime, now)

    def list_available(
        self, usable: list[replicas.Replica], now: float
    ) -> list[replicas.Replica]:
        """Returns the replicas that are not paused, in the same order."""
        self._drop_ended(now)
        if not self._ends_at:
            return usable
        return [item for item in usable if item.lifetime not in self._ends_at]

    def compute_wait_s(
        self, usable: Iterable[replicas.Replica], now: float
    ) -> float:
        """Returns the seconds until the first of some replicas is available."""
        waits_s = (
            max(0.0, self._ends_at.get(item.lifetime, now) - now)
            for item in usable
        )
        return min(waits_s, default=0.0)

    def count(self, now: float) -> int:
        """Returns the number of replicas that are paused."""
        self._drop_ended(now)
        return len(self._ends_at)

    def _drop_ended(self, now: float) -> None:
        if self._ends_at and min(self._ends_at.values()) <= now:
            self._ends_at = {
                lifetime: ends_at
                for lifetime, ends_at in self._ends_at.items()
                if ends_at > now
            }
