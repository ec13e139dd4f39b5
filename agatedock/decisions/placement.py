"""Chooses the replica of a request.

There are two policies. `prefix` is for chats with several turns: requests that
share a prompt part go to the same replica, whichever router they enter by, as
long as that replica does not run many more requests than the mean. `least` is
for short independent requests: the less busy of a few replicas gets them. A
policy returns the order in which replicas are tried and how many requests each
may run. The owner of a replica's count decides whether it has capacity.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import enum
import math

from agatedock import hashing
from agatedock import registry
from agatedock.decisions import crossing
from agatedock.decisions import fetching
from agatedock.decisions import fleet_view
from agatedock.decisions import load_bounds
from agatedock.decisions import load_reports
from agatedock.domain import configuration
from agatedock.domain import replicas
from agatedock.domain import requests

# A replica whose failure rate exceeds the lowest one by more than this is
# chosen only if no other is left.
FAILURE_RATE_EXCESS_MAX = 0.3
# Number of candidate replicas of a request with shared prompt parts, and of one
# without.
PREFIX_CANDIDATES = 4
LEAST_CANDIDATES = 2
# A reported count may replace a reservation if it is no older than this, the
# replica is near the mean and its bound leaves capacity.
REPORT_FRESH_S = 2.0
# How far the reported count may be above the mean in that case.
ABOVE_MEAN_MAX = 1.0
# A service with a lower load bound factor has no capacity left over for what
# other routers place at the same time.
SKIP_RESERVATION_FACTOR_MIN = 2.0


class Basis(enum.StrEnum):
    """What a choice of replica is based on.

    The values are written to the access log and are a metric label.
    """

    # The owner of its count granted a reservation.
    OWNER = "owner"
    # A recently reported count; the owner's reply is not awaited.
    REPORTED = "told"
    # The local view, as every owner that was queried denied the reservation.
    DENIED = "refused"
    # The local view, as an owner did not reply in time or none was queried.
    NO_REPLY = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The replica at which a request is reserved.

    Attributes:
      replica: The chosen replica.
      running: Other requests running there.
      basis: What the choice is based on.
      refusals: Reservations that owners denied before.
    """

    replica: replicas.Replica
    running: int
    basis: Basis
    refusals: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Where a request goes, and why.

    Attributes:
      replica: The chosen replica.
      fetch_from: Replica whose cache holds prompt parts that the chosen one
        lacks; None if there is none.
      unread_tokens: Tokens of the prompt that are in neither cache, as far as
        this router knows; the replica has to read them.
      reason: Name of the policy, or "bound" if its first choice was at
        capacity; for the access log.
      running: Requests at the chosen replica when it was chosen.
      mean: Mean of running requests over the service's replicas.
      basis: What the choice is based on.
      refusals: Reservations that owners denied before.
    """

    replica: replicas.Replica
    fetch_from: replicas.Replica | None
    unread_tokens: int
    reason: str
    running: int
    mean: float
    basis: Basis
    refusals: int


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """A request that needs a replica.

    Attributes:
      request: The request.
      service: The service that it goes to.
      usable: Replicas of the service that accept new requests.
      tried: Ids of replicas that it was already sent to.
      allowed_ids: Ids of the only replicas that it may be sent to; empty if
        there is no such limit.
      rank: Rank of the request; 0 is the highest.
      limited_ids: Ids of the usable replicas that are known to have had a rate
        limit a moment ago.
      homes: Regions that cached parts may be fetched from; None for all.
    """

    request: requests.Request
    service: configuration.Service
    usable: list[replicas.Replica]
    tried: frozenset[str] = frozenset()
    allowed_ids: frozenset[str] = frozenset()
    rank: int = 0
    limited_ids: frozenset[str] = frozenset()
    homes: frozenset[str] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PreferenceList:
    """The replicas that a request may go to.

    Attributes:
      replicas: In order of preference; at least one.
      max_running: Requests that a replica may run, this one included.
      mean: Mean of running requests over the service's replicas.
      reason: For the access log if the first replica is chosen.
      allows_spillover: Whether further replicas are tried if all of these are
        at capacity.
    """

    replicas: list[replicas.Replica]
    max_running: int
    mean: float
    reason: str
    allows_spillover: bool = False


Policy = Callable[
    [Task, list[replicas.Replica], fleet_view.FleetView], PreferenceList
]
policies: registry.Registry[Policy] = registry.Registry("placement policy")


def build_preference_list(
    task: Task, view: fleet_view.FleetView, now: float
) -> PreferenceList | None:
    """Returns the replicas that a request may go to, None if none is left.

    A request without shared prompt parts uses the policy `least`.

    Args:
      task: The request and the replicas to choose from.
      view: Loads, health and cached parts of the replicas.
      now: Present time in seconds.
    """
    healthy = _filter_healthy(task, view, now)
    if not healthy:
        return None
    name = task.service.placement if task.request.affinity_key else "least"
    return policies.get(name)(task, healthy, view)


def can_skip_reservation(
    task: Task,
    preferences: PreferenceList,
    view: fleet_view.FleetView,
    now: float,
) -> bool:
    """Returns whether the first replica surely has capacity.

    Then the request need not wait for a reservation reply. The replica's count
    must have been reported recently and be near the mean, and the load bound
    must hold even if half of the other routers have placed a request there
    since. This is for small fleets, where each router gets the counts of each
    replica often and waiting for a reply would delay every request.

    Args:
      task: The request.
      preferences: The replicas that it may go to.
      view: Loads of the replicas.
      now: Present time in seconds.
    """
    first = preferences.replicas[0].replica_id
    reported = view.loads.get_reported(first, now - REPORT_FRESH_S)
    if reported is None or reported > preferences.mean + ABOVE_MEAN_MAX:
        return False
    if view.limits.get_rate(preferences.replicas[0], now) is not None:
        return False
    bound = task.service.bound
    if bound.factor < SKIP_RESERVATION_FACTOR_MIN:
        return False
    capacity = bound.factor * preferences.mean + bound.slack - reported
    return view.count_peers() / 2 <= capacity


def list_spillover(
    task: Task,
    preferences: PreferenceList,
    view: fleet_view.FleetView,
    now: float,
) -> list[replicas.Replica]:
    """Returns further replicas to try if all preferred ones are at capacity.

    Handles a prompt part with more requests than its preferred replicas may
    run. Each request chooses by the hash of its own id: first among the next
    replicas in the part's order, then among all others. The surplus is thus
    spread and fills no single replica.

    Args:
      task: The request.
      preferences: The replicas that it was to go to.
      view: Health of the replicas.
      now: Present time in seconds.

    Returns:
      Up to two replicas; empty if the policy allows no spillover.
    """
    if not preferences.allows_spillover:
        return []
    healthy = _filter_healthy(task, view, now)
    request = task.request
    ordered = _select(request.affinity_key, healthy, 2 * PREFIX_CANDIDATES)
    ordered_ids = {item.replica_id for item in ordered}
    others = [item for item in healthy if item.replica_id not in ordered_ids]
    next_in_order = _select(request.request_id, ordered[PREFIX_CANDIDATES:], 1)
    return next_in_order + _select(request.request_id, others, 1)


def choose_by_local_view(
    candidates: list[replicas.Replica],
    max_running: int,
    view: fleet_view.FleetView,
) -> replicas.Replica:
    """Returns the first replica below capacity, else the least loaded one.

    Args:
      candidates: Replicas in order of preference; at least one.
      max_running: Requests that a replica may run, this one included.
      view: Loads of the replicas, as known to this router.
    """
    for replica in candidates:
        if view.loads.count_total(replica.replica_id) < max_running:
            return replica
    return min(
        candidates, key=lambda item: view.loads.count_total(item.replica_id)
    )


def make_placement(
    preferences: PreferenceList,
    choice: Choice,
    task: Task,
    view: fleet_view.FleetView,
    now: float,
) -> Placement:
    """Returns the placement of a request at the chosen replica.

    Args:
      preferences: The replicas that the request may go to.
      choice: The replica at which it is reserved.
      task: The request.
      view: Holders of the parts of its prompt.
      now: Present time in seconds.
    """
    first = choice.replica is preferences.replicas[0]
    source = fetching.find_source(
        task.request, choice.replica, task.homes, view, now
    )
    return Placement(
        replica=choice.replica,
        fetch_from=source,
        unread_tokens=fetching.count_unread_tokens(
            task.request, source or choice.replica, view, now
        ),
        reason=preferences.reason if first else "bound",
        running=choice.running,
        mean=preferences.mean,
        basis=choice.basis,
        refusals=choice.refusals,
    )


def _filter_healthy(
    task: Task, view: fleet_view.FleetView, now: float
) -> list[replicas.Replica]:
    """Returns the replicas to choose from, in the order of `task.usable`.

    Replicas that were tried or are not allowed are left out. Suspended replicas
    and those with a much higher failure rate than the others are left out, too,
    unless no other is left.
    """
    degraded = view.health.list_degraded(now)
    if not degraded and not task.tried and not task.allowed_ids:
        return task.usable
    untried = [
        item
        for item in task.usable
        if item.replica_id not in task.tried
        and (not task.allowed_ids or item.replica_id in task.allowed_ids)
    ]
    not_suspended = [
        item
        for item in untried
        if item.replica_id not in degraded
        or not view.health.is_suspended(item.replica_id, now)
    ]
    candidates = not_suspended or untried
    rates = {
        item.replica_id: view.health.failure_rate(item.replica_id, now)
        for item in candidates
        if item.replica_id in degraded
    }
    # A replica that is not degraded has a failure rate of 0.
    lowest = min(rates.values()) if len(rates) == len(candidates) > 0 else 0.0
    ceiling = lowest + FAILURE_RATE_EXCESS_MAX
    return [
        item
        for item in candidates
        if rates.get(item.replica_id, 0.0) <= ceiling
    ]


@policies.register("prefix")
def order_by_prefix(
    task: Task, candidates: list[replicas.Replica], view: fleet_view.FleetView
) -> PreferenceList:
    """Prefers the replicas that the shared prompt part hashes to."""
    mean = load_bounds.compute_mean(
        task.service.name, task.usable, task.limited_ids, view
    )
    return PreferenceList(
        replicas=_select(
            task.request.affinity_key, candidates, PREFIX_CANDIDATES
        ),
        max_running=load_bounds.compute_max_running(task.service.bound, mean),
        mean=mean,
        reason="prefix",
        allows_spillover=True,
    )


def _select(
    key: str, candidates: list[replicas.Replica], count: int
) -> list[replicas.Replica]:
    """Returns the first candidates in the rendezvous hash order of a key."""
    names = tuple(item.replica_id for item in candidates)
    return [candidates[at] for at in hashing.select_indices(key, names, count)]


@policies.register("least")
def order_by_load(
    task: Task, candidates: list[replicas.Replica], view: fleet_view.FleetView
) -> PreferenceList:
    """Prefers the less busy of two replicas, then this failure domain.

    If failure domains are considered, two replicas of this domain (or of the
    others, for the share that leaves) are compared with one of the others, and
    a request leaves only for a less busy one.
    """

    def sort_key(item: replicas.Replica) -> tuple[float, bool]:
        work = load_reports.compute_expected_work(
            view.loads.count_total(item.replica_id),
            view.get_slowness(item.replica_id),
        )
        return work, (item.zone == view.zone) is is_leaving

    mean = load_bounds.compute_mean(
        task.service.name, task.usable, task.limited_ids, view
    )
    key = task.request.request_id
    share = view.get_leaving_share(task.service.name)
    is_leaving = share is not None and crossing.leaves(key, share)
    first_choice = candidates
    others: list[replicas.Replica] = []
    if share is not None:
        first_choice, others = crossing.split(candidates, view.zone, is_leaving)
    picked = _select(key, first_choice, LEAST_CANDIDATES)
    return PreferenceList(
        replicas=sorted(picked + _select(key, others, 1), key=sort_key),
        max_running=math.floor(mean) + 1,
        mean=mean,
        reason="least",
    )
