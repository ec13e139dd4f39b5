"""The latest lines about requests, kept for `explain`."""

from __future__ import annotations

import dataclasses

import cachetools

from agatedock import clock

RECENT_REQUESTS_MAX = 2000


@dataclasses.dataclass(frozen=True)
class RequestRecord:
    """What one router did with one request.

    Attributes:
      at_ms: Wall-clock time of its end in milliseconds.
      fields: As in the log.
    """

    at_ms: int
    fields: dict[str, object]


class RecentRequests:
    """The latest requests of this router by id."""

    def __init__(self) -> None:
        self._records: cachetools.LRUCache[str, list[RequestRecord]] = (
            cachetools.LRUCache(RECENT_REQUESTS_MAX)
        )

    def add(self, request_id: str, fields: dict[str, object]) -> None:
        """Keeps the line of a request."""
        records = self._records.get(request_id)
        if records is None:
            records = self._records[request_id] = []
        records.append(RequestRecord(clock.read_wall_ms(), fields))

    def get(self, request_id: str) -> list[RequestRecord]:
        """Returns the lines about a request in order."""
        return list(self._records.get(request_id, ()))
