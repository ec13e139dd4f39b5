"""Checks of a soak: what reached replicas that drained, paused or crashed."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses

from standins import replica

# Bounds of the hosting platform.
DRAIN_S = 2.0
PAUSE_REACTION_S = 0.5
PAUSED_REQUESTS_MAX = 2
# Bounds for requests with a prompt part that crashes replicas.
CRASHES_BEFORE_BOUND = 5
CONTACT_S = 3.0
DEADLY_REQUESTS_MAX = 3
# A response that is written while its link fails may not arrive.
LINK_MARGIN_S = 0.3


@dataclasses.dataclass
class Disturbances:
    """Times at which a process did not run or a link did not carry bytes."""

    intervals: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )

    def add(self, begin: float, end: float) -> None:
        """Adds an interval in seconds; the end may be infinite."""
        self.intervals.append((begin, end))

    def overlap(self, begin: float, end: float) -> bool:
        """Returns whether any interval overlaps the given one."""
        return any(a <= end and begin <= b for a, b in self.intervals)


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request as it reached a replica.

    Attributes:
      record: What the replica recorded.
      router: Name of the router that sent it.
      sent_at: When the client sent it, in seconds.
      answered_at: When the client had the complete response of this replica;
        None if it never had.
      router_disturbances: When that router did not run.
      link_disturbances: When the replica's link failed.
    """

    record: replica.ReceivedRequest
    router: str
    sent_at: float
    answered_at: float | None
    router_disturbances: Disturbances
    link_disturbances: Disturbances


def find_violations(
    replica_name: str, arrivals: Iterable[Arrival]
) -> list[str]:
    """Returns the violations at one replica.

    Args:
      replica_name: Name of the replica.
      arrivals: All requests that reached it, also in earlier runs.
    """
    by_sender: dict[tuple[str, int], list[Arrival]] = {}
    for arrival in arrivals:
        key = arrival.router, arrival.record.born
        by_sender.setdefault(key, []).append(arrival)
    violations = []
    for (router, _), group in by_sender.items():
        for problem in (*_check_draining(group), *_check_pauses(group)):
            violations.append(f"{replica_name} from {router}: {problem}")
    return violations


def _check_draining(arrivals: list[Arrival]) -> list[str]:
    """Checks requests sent after a response had said "draining"."""
    told_at = min(
        (
            arrival.answered_at
            for arrival in arrivals
            if arrival.record.told_leaving_at is not None
            and arrival.answered_at is not None
        ),
        default=None,
    )
    if told_at is None:
        return []
    return [
        f"request {arrival.sent_at - told_at:.2f} s after it drained"
        for arrival in arrivals
        if arrival.sent_at > told_at + DRAIN_S
        and not arrival.router_disturbances.overlap(
            told_at, arrival.record.received_at
        )
    ]


def _check_pauses(arrivals: list[Arrival]) -> list[str]:
    """Checks requests that arrived during a pause."""
    violations = []
    for told in arrivals:
        paused_at = told.record.paused_at
        if paused_at is None:
            continue
        begin = paused_at + PAUSE_REACTION_S
        end = paused_at + told.record.pause_s
        count = sum(begin < item.record.received_at < end for item in arrivals)
        if (
            count > PAUSED_REQUESTS_MAX
            and not told.router_disturbances.overlap(paused_at, end)
            and not told.link_disturbances.overlap(
                paused_at - LINK_MARGIN_S, begin
            )
        ):
            violations.append(
                f"{count} requests in a pause of {told.record.pause_s:.1f} s"
            )
    return violations


def find_late_crashes(
    arrivals: Iterable[Arrival], crashes: Iterable[float]
) -> list[str]:
    """Returns a violation if a deadly part kept reaching replicas.

    Args:
      arrivals: All requests with the part that reached replicas.
      crashes: Times of all crashes, in seconds.
    """
    times = sorted(crashes)
    if len(times) < CRASHES_BEFORE_BOUND:
        return []
    bound_from = times[CRASHES_BEFORE_BOUND - 1] + CONTACT_S
    late = [
        arrival
        for arrival in arrivals
        if arrival.record.received_at > bound_from
        and not arrival.router_disturbances.overlap(
            arrival.sent_at - CONTACT_S, arrival.record.received_at
        )
    ]
    if len(late) <= DEADLY_REQUESTS_MAX:
        return []
    return [
        f"{len(late)} requests with a deadly part after {len(times)} crashes"
    ]
