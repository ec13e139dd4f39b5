"""Replicas of services, as the listing describes them."""

from __future__ import annotations

import dataclasses
import enum

# A run that started at most this long before a response, and was not listed
# yet, may be the one that sent it.
UNLISTED_MAX_S = 10.0
_MS_PER_S = 1000


class ReplicaState(enum.StrEnum):
    """Whether a replica accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Lifetime:
    """One run of a replica, from the start of its process to its end.

    Attributes:
      replica_id: Id of the replica, which a later run may have as well.
      started_at_ms: Unix time of its start in milliseconds; 0 if unknown.
      address: `IP:PORT`.
    """

    replica_id: str
    started_at_ms: int
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """One replica of a service.

    Attributes:
      replica_id: Unique id; a restarted replica may keep it.
      service: Name of its service.
      address: `IP:PORT`; another replica may get it later.
      zone: Its failure domain.
      slots: Requests that it runs at once; 0 if unknown.
      state: Whether it accepts new requests.
      started_at_ms: Unix time of its start in milliseconds; 0 if unknown.
      sequence: Sequence number of this entry; grows with each update of the
        entry and starts again with each start of the replica.
      version: Version of its software; empty if unknown.
      cold_s: How much longer it is cold, in seconds, as of this entry; 0 if it
        is not cold, or its service tolerates as many requests then as usual.
      region: Region of its failure domain; empty if unknown.
    """

    replica_id: str
    service: str
    address: str
    zone: str
    slots: int
    state: ReplicaState
    started_at_ms: int
    sequence: int
    version: str = ""
    cold_s: float = 0.0
    region: str = ""

    @property
    def lifetime(self) -> Lifetime:
        """Returns the run of the replica that this entry describes."""
        return Lifetime(self.replica_id, self.started_at_ms, self.address)

    def may_have_answered_for(
        self, previous: Lifetime, answered_at_ms: int
    ) -> bool:
        """Returns whether this run sent a response in place of another one.

        It did if it had started shortly before at the same address, while the
        other one was still listed.

        Args:
          previous: The run that was listed under this id.
          answered_at_ms: Unix time of the response in milliseconds.
        """
        if self.address != previous.address or self.lifetime == previous:
            return False
        started_before_s = (answered_at_ms - self.started_at_ms) / _MS_PER_S
        return 0 <= started_before_s <= UNLISTED_MAX_S

    def is_older_than(self, other: Replica) -> bool:
        """Returns whether this entry was written before another of the id."""
        return (self.started_at_ms, self.sequence) < (
            other.started_at_ms,
            other.sequence,
        )
