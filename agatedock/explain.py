"""Short records of decisions, kept for a while for `explain`."""

from __future__ import annotations

import dataclasses

import cachetools

from agatedock import clock

RECORDS_MAX = 2000


@dataclasses.dataclass(frozen=True)
class Step:
    """One decision about a request.

    Attributes:
      at_ms: Wall-clock time in milliseconds.
      what: The decision, such as `divert` or `send`.
      where: Engine, replica or router it concerns.
      why: Reason for people.
    """

    at_ms: int
    what: str
    where: str
    why: str


class Records:
    """The last decisions of this router by request id."""

    def __init__(self) -> None:
        self._steps: cachetools.LRUCache[str, list[Step]] = cachetools.LRUCache(
            RECORDS_MAX
        )

    def add(self, request_id: str, what: str, where: str, why: str) -> None:
        """Adds a decision about a request."""
        steps = self._steps.get(request_id)
        if steps is None:
            steps = self._steps[request_id] = []
        steps.append(Step(clock.read_wall_ms(), what, where, why))

    def get(self, request_id: str) -> list[Step]:
        """Returns the decisions about a request in order."""
        return list(self._steps.get(request_id, ()))
