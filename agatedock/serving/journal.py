"""What the log says of one request."""

from __future__ import annotations

import dataclasses

from agatedock.decisions import placement


@dataclasses.dataclass
class Entry:
    """One line of the log, filled in along the path of a request.

    Attributes:
      revision: Revision of the configuration that decided.
      proof_age_s: How long before it was proved current.
      failures: Sends without a usable answer, as `REPLICA:OUTCOME`.
      running: Requests at the replica when it was chosen.
      pause_s: Longest time between two pieces of a stream.
    """

    request_id: str
    route: str = ""
    account: str = ""
    service: str = ""
    replica: str = ""
    reason: str = ""
    running: int = 0
    mean: float = 0.0
    fetch_from: str = ""
    revision: int = 0
    proof_age_s: float = 0.0
    failures: list[str] = dataclasses.field(default_factory=list)
    # Stays so if the client leaves, which ends the work.
    outcome: str = "client_left"
    status: int = 0
    pieces: int = 0
    first_at: float = 0.0
    latest_at: float = 0.0
    pause_s: float = 0.0

    @property
    def is_failure(self) -> bool:
        """Tells whether the client did not get what it asked for."""
        return self.outcome != "answered"

    def take_place(self, place: placement.Placement) -> None:
        """Notes where the request goes and why."""
        self.replica = place.replica.replica_id
        self.reason = place.reason
        self.running = place.running
        self.mean = place.mean
        if place.fetch_from is not None:
            self.fetch_from = place.fetch_from.replica_id

    def take_event(self, now: float) -> None:
        """Notes that a piece of a stream arrived."""
        if self.pieces:
            self.pause_s = max(self.pause_s, now - self.latest_at)
        else:
            self.first_at = now
        self.pieces += 1
        self.latest_at = now
