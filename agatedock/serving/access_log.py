"""Access log entries, one for each request."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import math

from agatedock.decisions import placement

# Characters of one part's id that are logged.
LOGGED_PART_CHARS_MAX = 40
# Characters of a value from a replica that are logged.
LOGGED_VALUE_CHARS_MAX = 40
# Characters of the list of a prompt's parts that are logged.
LOGGED_PARTS_CHARS_MAX = 200

_MS_PER_S = 1000


@dataclasses.dataclass
class AccessLogEntry:
    """Access log entry, filled in while a request is served.

    Attributes:
      replica: Id of the replica of the last attempt.
      reason: Why the replica was chosen.
      running: Requests at the replica when it was chosen.
      mean: Mean of running requests over the service's replicas.
      basis: Why the replica was taken to have capacity; a `placement.Basis`.
      refusals: Number of owners that denied the reservation.
      fetch_from: Id of a replica with cached prompt parts that the chosen one
        lacks; empty if there is none.
      unread_tokens: Tokens of the prompt that no known cache of the chosen
        replica or of `fetch_from` holds.
      parts: Ids of the prompt's parts, in order.
      revision: Revision of the applied configuration.
      proof_age_s: Configuration age: time since the configuration was confirmed
        as newest.
      failures: Attempts without a usable response, as `REPLICA:OUTCOME`.
      outcome: Result of the request; `client_left` until another is set, as a
        client that disconnects ends the work at any point.
      details: Why the router itself failed or rejected the request.
      rate_limit: Rate limit that the last answer named, as written there; empty
        if it named none.
      quarantined_part: Prompt part for which the request was refused; empty if
        it was not.
      chunk_count: Chunks of the stream so far.
      first_chunk_at: Time of the first chunk, in seconds.
      last_chunk_at: Time of the latest chunk, in seconds.
      max_gap_s: Longest time between two chunks of the stream.
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
    unread_tokens: int = 0
    parts: tuple[str, ...] = ()
    revision: int = 0
    proof_age_s: float = 0.0
    failures: list[str] = dataclasses.field(default_factory=list)
    outcome: str = "client_left"
    details: str = ""
    rate_limit: str = ""
    quarantined_part: str = ""
    status: int = 0
    chunk_count: int = 0
    first_chunk_at: float = 0.0
    last_chunk_at: float = 0.0
    max_gap_s: float = 0.0

    @property
    def is_failure(self) -> bool:
        """Returns whether the client did not get a complete response."""
        return self.outcome not in ("answered", "replayed")

    def to_log_fields(
        self, arrived_at: float, duration_s: float
    ) -> dict[str, object]:
        """Returns the fields of the log line.

        Args:
          arrived_at: When the request arrived, in seconds.
          duration_s: Time from the request to the end of its response.
        """
        first_s = self.first_chunk_at - arrived_at if self.chunk_count else 0.0
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
            "unread_tokens": self.unread_tokens,
            "parts": self.format_parts(),
            "revision": self.revision,
            "proof_age_ms": _to_ms(self.proof_age_s),
            "rate_limit": self.rate_limit,
            "failures": ",".join(self.failures),
            "outcome": self.outcome,
            "details": self.details,
            "status": self.status,
            "pieces": self.chunk_count,
            "first_ms": _to_ms(first_s),
            "pause_ms": _to_ms(self.max_gap_s),
            "took_ms": _to_ms(duration_s),
        }

    def format_parts(self) -> str:
        """Returns the ids of the prompt's parts for a log line."""
        return ",".join(self.parts)[:LOGGED_PARTS_CHARS_MAX]

    def record_placement(self, chosen: placement.Placement) -> None:
        """Records the chosen replica and the reason."""
        self.replica = chosen.replica.replica_id
        self.reason = chosen.reason
        self.running = chosen.running
        self.mean = chosen.mean
        self.basis = chosen.basis
        self.refusals = chosen.refusals
        self.unread_tokens = chosen.unread_tokens
        if chosen.fetch_from is not None:
            self.fetch_from = chosen.fetch_from.replica_id

    def record_rate_limit(self, values: Sequence[str]) -> None:
        """Records the rate limit that the answer of an attempt named."""
        self.rate_limit = ",".join(values)[:LOGGED_VALUE_CHARS_MAX]

    def record_chunk(self, now: float) -> None:
        """Records that a chunk of a stream arrived."""
        if self.chunk_count:
            self.max_gap_s = max(self.max_gap_s, now - self.last_chunk_at)
        else:
            self.first_chunk_at = now
        self.chunk_count += 1
        self.last_chunk_at = now


def _to_ms(value_s: float) -> int:
    """Returns whole milliseconds; -1 for an infinite time."""
    return round(value_s * _MS_PER_S) if math.isfinite(value_s) else -1
