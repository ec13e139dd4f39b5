"""Replicas that are cold: they take few requests for a while."""

from __future__ import annotations

import collections
import dataclasses

from agatedock.domain import replicas

# Runs of replicas that are remembered; the least recent are dropped.
RUNS_MAX = 5000


@dataclasses.dataclass(frozen=True, slots=True)
class ColdTime:
    """How long a run is cold.

    Attributes:
      rate: Requests per second that it takes from all routers together.
      until: End in seconds.
    """

    rate: float
    until: float


class ColdReplicas:
    """Cold times by run of a replica; a later run has its own."""

    def __init__(self) -> None:
        self._times: collections.OrderedDict[replicas.Lifetime, ColdTime] = (
            collections.OrderedDict()
        )

    def record(
        self, replica: replicas.Replica, rate: float, until: float
    ) -> None:
        """Records that a run is cold; an earlier end than known is ignored.

        Args:
          replica: The replica, whose present run is meant.
          rate: Requests per second that it takes.
          until: Time in seconds up to which it is cold.
        """
        known = self._times.get(replica.lifetime)
        if known is not None:
            until = max(until, known.until)
        self._times[replica.lifetime] = ColdTime(rate, until)
        self._times.move_to_end(replica.lifetime)
        while len(self._times) > RUNS_MAX:
            self._times.popitem(last=False)

    def find(
        self, replica: replicas.Replica | None, now: float
    ) -> ColdTime | None:
        """Returns the cold time of a replica; None if it is not cold."""
        if not self._times or replica is None:
            return None
        found = self._times.get(replica.lifetime)
        return found if found is not None and now < found.until else None

    def count(self, now: float) -> int:
        """Returns the number of runs that are cold, and forgets the others."""
        for lifetime, cold_time in list(self._times.items()):
            if cold_time.until <= now:
                del self._times[lifetime]
        return len(self._times)
