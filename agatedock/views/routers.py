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

    status: messages.Row
    received_at: float
    created_at: float


class Routers:
    """Latest rows by the short number of the router, the latest last."""

    def __init__(self) -> None:
        self._received: collections.OrderedDict[int, ReceivedStatus] = (
            collections.OrderedDict()
        )
        # Last rows of routers that were dropped: peers may still pass them on.
        self._dropped_sequences: dict[int, int] = {}
        self._running: collections.Counter[int] = collections.Counter()
        # Grows when a router comes or goes.
        self.membership_version = 0

    def merge(self, status: messages.Row, now: float) -> bool:
        """Learns a row; returns whether its router was not known."""
        previous = self._received.get(status.router)
        if previous is not None:
            if status.number <= previous.status.number:
                return False
            self._running.subtract(previous.status.running)
        else:
            if status.number <= self._dropped_sequences.get(status.router, -1):
                return False
            self._dropped_sequences.pop(status.router, None)
            self.membership_version += 1
        created_at = now - status.age_ms / _MS_PER_S
        self._received[status.router] = ReceivedStatus(status, now, created_at)
        self._received.move_to_end(status.router)
        self._running.update(status.running)
        return previous is None

    def drop_timed_out(self, now: float) -> list[int]:
        """Forgets routers that were silent; returns their numbers."""
        limit_s = PEER_TIMEOUT_MIN_S + PEER_TIMEOUT_PER_ROUTER_S * len(
            self._received
        )
        timed_out = []
        for router_hash, received in self._received.items():
            if now - received.received_at <= limit_s:
                break
            timed_out.append(router_hash)
        for router_hash in timed_out:
            status = self._received.pop(router_hash).status
            self._dropped_sequences[router_hash] = status.number
            self._running.subtract(status.running)
            self.membership_version += 1
        return timed_out

    def get(self, router_hash: int) -> ReceivedStatus | None:
        """Returns the latest row of a router."""
        return self._received.get(router_hash)

    def list_hashes(self) -> list[int]:
        """Returns the routers that were heard lately."""
        return list(self._received)

    def list_last_received(self, limit: int, now: float) -> list[messages.Row]:
        """Returns the rows that came last, the latest first."""
        newest = itertools.islice(reversed(self._received.values()), limit)
        return [_set_age(received, now) for received in newest]

    def list_last_created(self, limit: int, now: float) -> list[messages.Row]:
        """Returns the rows that were made last, the latest first."""
        freshest = heapq.nlargest(
            limit,
            self._received.values(),
            key=lambda received: received.created_at,
        )
        return [_set_age(received, now) for received in freshest]

    def mean_age_s(self, now: float) -> float:
        """Returns how long ago the rows were made, 0 if there are none."""
        if not self._received:
            return 0.0
        ages = [
            now - received.created_at for received in self._received.values()
        ]
        return sum(ages) / len(ages)

    def count(self) -> int:
        """Returns the number of routers heard lately."""
        return len(self._received)

    def sum_running(self, service: str) -> int:
        """Returns the running requests of a service at other routers."""
        return max(0, self._running[hashing.hash_name(service)])


def _set_age(received: ReceivedStatus, now: float) -> messages.Row:
    """Returns a row as it is passed on."""
    age_ms = round((now - received.created_at) * _MS_PER_S)
    return msgspec.structs.replace(received.status, age_ms=age_ms)
