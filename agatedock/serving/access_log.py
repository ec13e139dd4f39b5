"""What the log says of one request."""

from __future__ import annotations

import dataclasses
import math

from agatedock.decisions import placement

_MS_PER_S = 1000


@dataclasses.dataclass
class AccessLogEntry:
    """One line of the log, filled in along the path of a request.

    Attributes:
      revision: Revision of the configuration that decided.
      proof_age_s: How long before it was proved current.
      failures: Sends without a usable answer, as `REPLICA:OUTCOME`.
      running: Requests at the replica when it was chosen.
      basis: What said that it has room.
      refusals: Owners of counts that refused the request before.
      max_gap_s: Longest time between two pieces of a stream.
    """

    request_id: str
    route: str = ""
    account: str = ""
    service: str = ""
    replica: str = ""
    reason: str = ""
    running: int = 0
    mean: float = 0.0
    basis: str = ""
    refusals: int = 0
    fetch_from: str = ""
    revision: int = 0
    proof_age_s: float = 0.0
    failures: list[str] = dataclasses.field(default_factory=list)
    # Stays so if the client leaves, which ends the work.
    outcome: str = "client_left"
    status: int = 0
    chunk_count: int = 0
    first_chunk_at: float = 0.0
    last_chunk_at: float = 0.0
    max_gap_s: float = 0.0

    @property
    def is_failure(self) -> bool:
        """Tells whether the client did not get what it asked for."""
        return self.outcome not in ("answered", "replayed")

    def to_log_fields(self, duration_s: float) -> dict[str, object]:
        """Returns the fields of the line.

        Args:
          duration_s: Time from the request to the end of its answer.
        """
        return {
            "id": self.request_id,
            "route": self.route,
            "account": self.account,
            "service": self.service,
            "replica": self.replica,
            "reason": self.reason,
            "running": self.running,
            "mean": round(self.mean, 1),
            "basis": self.basis,
            "refusals": self.refusals,
            "fetch_from": self.fetch_from,
            "revision": self.revision,
            "proof_age_ms": _to_ms(self.proof_age_s),
            "failures": ",".join(self.failures),
            "outcome": self.outcome,
            "status": self.status,
            "pieces": self.chunk_count,
            "pause_ms": _to_ms(self.max_gap_s),
            "took_ms": _to_ms(duration_s),
        }

    def record_placement(self, chosen: placement.Placement) -> None:
        """Notes where the request goes and why."""
        self.replica = chosen.replica.replica_id
        self.reason = chosen.reason
        self.running = chosen.running
        self.mean = chosen.mean
        self.basis = chosen.basis
        self.refusals = chosen.refusals
        if chosen.fetch_from is not None:
            self.fetch_from = chosen.fetch_from.replica_id

    def record_chunk(self, now: float) -> None:
        """Notes that a piece of a stream arrived."""
        if self.chunk_count:
            self.max_gap_s = max(self.max_gap_s, now - self.last_chunk_at)
        else:
            self.first_chunk_at = now
        self.chunk_count += 1
        self.last_chunk_at = now


def _to_ms(value_s: float) -> int:
    """Returns milliseconds; -1 for a time that has no end."""
    return round(value_s * _MS_PER_S) if math.isfinite(value_s) else -1
