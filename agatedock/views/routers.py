"""The other routers as their rows describe them."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools

import msgspec

from agatedock import hashing
from agatedock.peers import messages

# A router without a new row for this long is gone; rows take the longer to
# arrive the more routers there are.
PEER_TIMEOUT_MIN_S = 4.0
PEER_TIMEOUT_PER_ROUTER_S = 0.03
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedStatus:
    """A router's latest row, when it came and when it was made, in seconds."""

    status: messages.RouterStatus
    received_at: float
    created_at: float


class Routers:
    """Latest rows by the short number of the router, the latest last."""

    def __init__(self) -> None:
        self._heard: collections.OrderedDict[int, ReceivedStatus] = (
            collections.OrderedDict()
        )
        # Last rows of routers that were dropped: peers may still pass them on.
        self._dropped: dict[int, int] = {}
        self._running: collections.Counter[int] = collections.Counter()
        # Grows when a router comes or goes.
        self.membership_version = 0

    def merge(self, status: messages.RouterStatus, now: float) -> bool:
        """Learns a row; returns whether its router was not known."""
        known = self._heard.get(status.router_hash)
        if known is not None:
            if status.sequence <= known.status.sequence:
                return False
            self._running.subtract(known.status.running_by_service)
        else:
            if status.sequence <= self._dropped.get(status.router_hash, -1):
                return False
            self._dropped.pop(status.router_hash, None)
            self.membership_version += 1
        made_at = now - status.age_ms / _MS_PER_S
        self._heard[status.router_hash] = ReceivedStatus(status, now, made_at)
        self._heard.move_to_end(status.router_hash)
        self._running.update(status.running_by_service)
        return known is None

    def drop_timed_out(self, now: float) -> list[int]:
        """Forgets routers that were silent; returns their numbers."""
        limit_s = PEER_TIMEOUT_MIN_S + PEER_TIMEOUT_PER_ROUTER_S * len(
            self._heard
        )
        silent = []
        for number, heard in self._heard.items():
            if now - heard.received_at <= limit_s:
                break
            silent.append(number)
        for number in silent:
            status = self._heard.pop(number).status
            self._dropped[number] = status.sequence
            self._running.subtract(status.running_by_service)
            self.membership_version += 1
        return silent

    def get(self, router_hash: int) -> ReceivedStatus | None:
        """Returns the latest row of a router."""
        return self._heard.get(router_hash)

    def list_hashes(self) -> list[int]:
        """Returns the routers that were heard lately."""
        return list(self._heard)

    def list_last_received(
        self, limit: int, now: float
    ) -> list[messages.RouterStatus]:
        """Returns the rows that came last, the latest first."""
        newest = itertools.islice(reversed(self._heard.values()), limit)
        return [_set_age(heard, now) for heard in newest]

    def list_last_created(
        self, limit: int, now: float
    ) -> list[messages.RouterStatus]:
        """Returns the rows that were made last, the latest first."""
        freshest = heapq.nlargest(
            limit, self._heard.values(), key=lambda heard: heard.created_at
        )
        return [_set_age(heard, now) for heard in freshest]

    def mean_age_s(self, now: float) -> float:
        """Returns how long ago the rows were made, 0 if there are none."""
        if not self._heard:
            return 0.0
        ages = [now - heard.created_at for heard in self._heard.values()]
        return sum(ages) / len(ages)

    def count(self) -> int:
        """Returns the number of routers heard lately."""
        return len(self._heard)

    def sum_running(self, service: str) -> int:
        """Returns the running requests of a service at other routers."""
        return max(0, self._running[hashing.hash_name(service)])


def _set_age(heard: ReceivedStatus, now: float) -> messages.RouterStatus:
    """Returns a row as it is passed on."""
    age_ms = round((now - heard.created_at) * _MS_PER_S)
    return msgspec.structs.replace(heard.status, age_ms=age_ms)
