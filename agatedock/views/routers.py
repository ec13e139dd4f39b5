"""The other routers of the fleet, from the router statuses in gossip."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools

import msgspec

from agatedock import hashing
from agatedock.peers import messages

# A router without a new status within this time is removed. The time grows with
# the number of routers, as statuses take longer to spread in a large fleet.
PEER_TIMEOUT_MIN_S = 4.0
PEER_TIMEOUT_PER_ROUTER_S = 0.03
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedStatus:
    """The latest status of a router.

    Attributes:
      status: As its router made it.
      received_at: When it was received here, in seconds.
      created_at: When its router made it, in seconds of this router's clock.
    """

    status: messages.RouterStatus
    received_at: float
    created_at: float


class Routers:
    """The live routers: latest statuses by router hash, last received last."""

    def __init__(self) -> None:
        self._received: collections.OrderedDict[int, ReceivedStatus] = (
            collections.OrderedDict()
        )
        # Sequence numbers of the last statuses of removed routers, as peers may
        # still forward those statuses.
        self._dropped_sequences: dict[int, int] = {}
        self._running: collections.Counter[int] = collections.Counter()
        # Incremented when a router joins or leaves.
        self.membership_version = 0

    def merge(self, status: messages.RouterStatus, now: float) -> bool:
        """Merges a status unless one as new was received before.

        Returns:
          Whether its router joined with it.
        """
        previous = self._received.get(status.router_hash)
        if previous is not None:
            if status.sequence <= previous.status.sequence:
                return False
            self._running.subtract(previous.status.running_by_service)
        else:
            if status.sequence <= self._dropped_sequences.get(
                status.router_hash, -1
            ):
                return False
            self._dropped_sequences.pop(status.router_hash, None)
            self.membership_version += 1
        created_at = now - status.age_ms / _MS_PER_S
        self._received[status.router_hash] = ReceivedStatus(
            status, now, created_at
        )
        self._received.move_to_end(status.router_hash)
        self._running.update(status.running_by_service)
        return previous is None

    def drop_timed_out(self, now: float) -> list[int]:
        """Removes routers without a recent status; returns their hashes."""
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
            self._dropped_sequences[router_hash] = status.sequence
            self._running.subtract(status.running_by_service)
            self.membership_version += 1
        return timed_out

    def get(self, router_hash: int) -> ReceivedStatus | None:
        """Returns the latest status of a router, None if it is not live."""
        return self._received.get(router_hash)

    def list_hashes(self) -> list[int]:
        """Returns the hashes of the live routers."""
        return list(self._received)

    def list_last_received(
        self, limit: int, now: float
    ) -> list[messages.RouterStatus]:
        """Returns the statuses received last, the latest first."""
        newest = itertools.islice(reversed(self._received.values()), limit)
        return [_set_age(received, now) for received in newest]

    def list_last_created(
        self, limit: int, now: float
    ) -> list[messages.RouterStatus]:
        """Returns the statuses created last, the latest first."""
        freshest = heapq.nlargest(
            limit,
            self._received.values(),
            key=lambda received: received.created_at,
        )
        return [_set_age(received, now) for received in freshest]

    def mean_age_s(self, now: float) -> float:
        """Returns the mean age of the statuses in seconds, 0 without any."""
        if not self._received:
            return 0.0
        ages = [
            now - received.created_at for received in self._received.values()
        ]
        return sum(ages) / len(ages)

    def count(self) -> int:
        """Returns the number of live routers, without this one."""
        return len(self._received)

    def sum_running(self, service: str) -> int:
        """Returns the running requests of a service at other routers."""
        return max(0, self._running[hashing.hash_name(service)])

    def sum_running_by_domain(self, service: str) -> dict[str, int]:
        """Returns the running requests of a service at other routers.

        They are summed by the failure domain of the router.
        """
        service_hash = hashing.hash_name(service)
        totals: collections.Counter[str] = collections.Counter()
        for received in self._received.values():
            running = received.status.running_by_service.get(service_hash, 0)
            totals[received.status.zone] += running
        return dict(totals)


def _set_age(received: ReceivedStatus, now: float) -> messages.RouterStatus:
    """Returns a status with its present age, as it is forwarded."""
    age_ms = round((now - received.created_at) * _MS_PER_S)
    return msgspec.structs.replace(received.status, age_ms=age_ms)
