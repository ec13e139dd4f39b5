"""Replicas of services as they describe themselves."""

from __future__ import annotations

import dataclasses
import enum


class ReplicaState(enum.StrEnum):
    """Whether a replica takes new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """One replica.

    Attributes:
      replica_id: Names it; a restart may keep the name.
      address: `IP:PORT`; another replica may get it later.
      zone: Its failure domain.
      slots: Requests that it runs at once; 0 if it does not say.
      started_at_ms: Unix time of its start in milliseconds; 0 if unknown.
      sequence: Grows with each of its messages, anew from each start.
    """

    replica_id: str
    service: str
    address: str
    zone: str
    slots: int
    state: ReplicaState
    started_at_ms: int
    sequence: int

    def is_older_than(self, other: Replica) -> bool:
        """Tells whether this message was sent before another of the same id."""
        return (self.started_at_ms, self.sequence) < (
            other.started_at_ms,
            other.sequence,
        )
