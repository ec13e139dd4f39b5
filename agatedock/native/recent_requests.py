"""Access log entries of recent requests, for `agatedock explain`."""

from __future__ import annotations

import dataclasses

import cachetools

from agatedock import clock

RECENT_REQUESTS_MAX = 2000


@dataclasses.dataclass(frozen=True)
class RequestRecord:
    """Access log entry of one request at one router.

    Attributes:
      at_ms: Wall-clock time in milliseconds at which the request ended.
      fields: Fields of the log line `request`.
    """

    at_ms: int
    fields: dict[str, object]


class RecentRequests:
    """Entries of the RECENT_REQUESTS_MAX most recently used request ids."""

    def __init__(self) -> None:
        self._records: cachetools.LRUCache[str, list[RequestRecord]] = (
            cachetools.LRUCache(RECENT_REQUESTS_MAX)
        )

    def add(self, request_id: str, fields: dict[str, object]) -> None:
        """Adds the access log entry of a request that has just ended."""
        records = self._records.get(request_id)
        if records is None:
            records = self._records[request_id] = []
        records.append(RequestRecord(clock.read_wall_ms(), fields))

    def get(self, request_id: str) -> list[RequestRecord]:
        """Returns the entries of a request id, the oldest first."""
        return list(self._records.get(request_id, ()))
