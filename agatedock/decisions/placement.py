"""Chooses the replica of a request.

Two policies. `prefix` answers the load of returning chats: requests that share
a prompt part go to the same replica, wherever they enter, as long as no
replica carries much more than the mean. `least` answers the load of short
independent requests: one of two replicas that has few gets them. A policy
says in which order replicas are to be tried and how many requests each may
have; whether it has room is known to the owner of its count.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Set
import dataclasses
import enum
import math
from typing import Protocol

from agatedock import hashing
from agatedock import registry
from agatedock.domain import configuration
from agatedock.domain import replicas
from agatedock.domain import requests
from agatedock.views import ledger
from agatedock.views import prefixes

# Parts of a service's bound that are used: of the factor above 1, and of the
# slack. The rest is kept free because the mean is up to some seconds old.
BOUND_FACTOR_FRACTION = 1 / 2
BOUND_SLACK_FRACTION = 1 / 2
# A replica whose failure rate is above this, and above the lowest one by the
# same amount, is chosen only if no other is left.
FAILURE_RATE_EXCESS_MAX = 0.3
# Replicas that a request chooses from, with shared parts and without.
PREFIX_CANDIDATES = 4
LEAST_CANDIDATES = 2
# What was told of a replica's requests is exact enough for this long if it
# leaves room.
REPORT_FRESH_S = 2.0
# Requests above the mean that such a replica may have.
ABOVE_MEAN_MAX = 1.0
# A tighter bound has no room for what others place meanwhile.
SKIP_RESERVATION_FACTOR_MIN = 2.0


class LoadView(Protocol):
    """Running requests by replica."""

    def count_total(self, replica_id: str) -> int:
        """Returns the requests running at a replica."""

    def get_reported(self, replica_id: str, since: float) -> int | None:
        """Returns them if they were told since then."""


class HealthView(Protocol):
    """How replicas have answered lately."""

    def is_suspended(self, replica_id: str, now: float) -> bool:
        """Tells whether a replica is left alone for now."""

    def failure_rate(self, replica_id: str, now: float) -> float:
        """Returns the share of failed answers lately."""

    def list_degraded(self, now: float) -> Set[str]:
        """Returns the replicas that failed or are left alone lately."""


@dataclasses.dataclass(frozen=True)
class FleetView:
    """What a placement is decided from."""

    loads: LoadView
    health: HealthView
    prefixes: prefixes.PrefixIndex
    find_replica: Callable[[int], replicas.Replica | None]
    # Returns the running requests of a service, from all routers.
    count_running: Callable[[str], int]
    # Returns how many other routers place requests.
    count_peers: Callable[[], int]
    zone: str


class Basis(enum.StrEnum):
    """What says that a replica has room for a request."""

    # The owner of its count, asked before.
    OWNER = "owner"
    # What was told a moment ago; the owner answers later.
    REPORTED = "told"
    # What this router believes: every owner that was asked refused.
    DENIED = "refused"
    # What this router believes: an owner did not answer, or none was asked.
    NO_REPLY = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A replica that a request is counted at.

    Attributes:
      running: Other requests there.
      refusals: Owners that refused the request before.
    """

    replica: replicas.Replica
    running: int
    basis: Basis
    refusals: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Where a request goes.

    Attributes:
      fetch_from: Replica that holds parts of the prompt which the chosen one
        lacks; None if there is none.
      reason: For the log.
      running: Requests at the chosen replica when it was chosen.
      mean: Mean of running requests over the service's replicas.
      basis: What says that the chosen replica has room.
      refusals: Owners of counts that refused the request.
    """

    replica: replicas.Replica
    fetch_from: replicas.Replica | None
    reason: str
    running: int
    mean: float
    basis: Basis
    refusals: int


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """What is to be placed.

    Attributes:
      service: Where it goes.
      usable: Replicas of the service that take new requests.
      tried: Ids of replicas that it was already sent to.
      allowed_ids: If any, ids of the only replicas that it may be sent to.
    """

    request: requests.Request
    service: configuration.Service
    usable: list[replicas.Replica]
    tried: frozenset[str] = frozenset()
    allowed_ids: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class PreferenceList:
    """Where a request may go.

    Attributes:
      replicas: The best first; at least one.
      most: Requests that a replica may have, this one included.
      mean: Mean of running requests over the service's replicas.
      reason: For the log, if the first one is taken.
      spills: Whether spare replicas are asked if all of these are full.
    """

    replicas: list[replicas.Replica]
    max_running: int
    mean: float
    reason: str
    allows_spillover: bool = False


Policy = Callable[[Task, list[replicas.Replica], FleetView], PreferenceList]
policies: registry.Registry[Policy] = registry.Registry("placement policy")


def build_preference_list(
    task: Task, view: FleetView, now: float
) -> PreferenceList | None:
    """Returns where a request may go, None if no replica is left.

    Args:
      task: The request and the replicas to choose from.
      view: Loads, conditions and cached parts.
      now: Present time in seconds.
    """
    healthy = _filter_healthy(task, view, now)
    if not healthy:
        return None
    name = task.service.placement if task.request.affinity_key else "least"
    return policies.get(name)(task, healthy, view)


def can_skip_reservation(
    task: Task, preferences: PreferenceList, view: FleetView, now: float
) -> bool:
    """Tells whether the first option has room, nobody being asked.

    It was told lately to have no more than the mean, and half of the other
    routers may have placed a request there since. Answers the load of small
    fleets, where each router hears of each replica often: waiting for an
    answer would make every request late.

    Args:
      task: The request.
      preferences: Where it may go.
      view: What is believed of the replicas.
      now: Present time in seconds.
    """
    first = preferences.replicas[0].replica_id
    reported = view.loads.get_reported(first, now - REPORT_FRESH_S)
    if reported is None or reported > preferences.mean + ABOVE_MEAN_MAX:
        return False
    bound = task.service.bound
    if bound.factor < SKIP_RESERVATION_FACTOR_MIN:
        return False
    capacity = bound.factor * preferences.mean + bound.slack - reported
    return view.count_peers() / 2 <= capacity


def list_spillover(
    task: Task, preferences: PreferenceList, view: FleetView, now: float
) -> list[replicas.Replica]:
    """Returns further replicas to ask if all options are full.

    Answers the load of a part that has more requests than the replicas which
    prefer it may run: each request chooses by itself among the next in the
    part's order, then among all others, so that the surplus fills none.

    Args:
      task: The request.
      preferences: Where it was to go.
      view: Conditions of the replicas.
      now: Present time in seconds.
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
    candidates: list[replicas.Replica], max_running: int, view: FleetView
) -> replicas.Replica:
    """Returns the first replica believed to have room, else the least loaded.

    Args:
      candidates: Where the request may go, the best first; at least one.
      max_running: Requests that a replica may have, this one included.
      view: What is believed of the replicas.
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
    view: FleetView,
    now: float,
) -> Placement:
    """Returns the placement of a request at one of its options.

    Args:
      preferences: Where the request may go.
      choice: The one that it is counted at.
      task: The request.
      view: Tells who holds parts of its prompt.
      now: Present time in seconds.
    """
    first = choice.replica is preferences.replicas[0]
    return Placement(
        replica=choice.replica,
        fetch_from=_find_cache_source(task.request, choice.replica, view, now),
        reason=preferences.reason if first else "bound",
        running=choice.running,
        mean=preferences.mean,
        basis=choice.basis,
        refusals=choice.refusals,
    )


def _filter_healthy(
    task: Task, view: FleetView, now: float
) -> list[replicas.Replica]:
    """Returns the untried replicas, without failing ones if others are left."""
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
    # Those without doubt have not failed lately.
    lowest = min(rates.values()) if len(rates) == len(candidates) > 0 else 0.0
    ceiling = lowest + FAILURE_RATE_EXCESS_MAX
    return [
        item
        for item in candidates
        if rates.get(item.replica_id, 0.0) <= ceiling
    ]


@policies.register("prefix")
def order_by_prefix(
    task: Task, candidates: list[replicas.Replica], view: FleetView
) -> PreferenceList:
    """Prefers the replica that the shared part hashes to, under the bound."""
    mean = view.count_running(task.service.name) / len(task.usable)
    return PreferenceList(
        replicas=_select(
            task.request.affinity_key, candidates, PREFIX_CANDIDATES
        ),
        max_running=compute_max_running(task.service.bound, mean),
        mean=mean,
        reason="prefix",
        allows_spillover=True,
    )


def _select(
    key: str, candidates: list[replicas.Replica], count: int
) -> list[replicas.Replica]:
    names = tuple(item.replica_id for item in candidates)
    return [candidates[at] for at in hashing.select_indices(key, names, count)]


def compute_max_running(bound: configuration.LoadBound, mean: float) -> int:
    """Returns how many requests a replica may have.

    Args:
      bound: What no replica may pass.
      mean: Mean of running requests over the service's replicas.
    """
    factor = 1 + (bound.factor - 1) * BOUND_FACTOR_FRACTION
    return math.ceil(factor * mean + bound.slack * BOUND_SLACK_FRACTION)


def _find_cache_source(
    request: requests.Request,
    chosen: replicas.Replica,
    view: FleetView,
    now: float,
) -> replicas.Replica | None:
    """Returns a replica that holds more of a prompt than the chosen one."""
    chosen_hash = hashing.hash_name(chosen.replica_id)
    for part in reversed(request.shared_parts):
        holders = view.prefixes.list_holders(
            hashing.hash_name(part.part_id), now - ledger.PART_TTL_S
        )
        if chosen_hash in holders:
            return None
        for holder_hash in holders:
            source = view.find_replica(holder_hash)
            if source is not None and source.service == chosen.service:
                return source
    return None


@policies.register("least")
def order_by_load(
    task: Task, candidates: list[replicas.Replica], view: FleetView
) -> PreferenceList:
    """Prefers the less loaded of two, then one in this failure domain."""

    def sort_key(item: replicas.Replica) -> tuple[int, bool]:
        return view.loads.count_total(item.replica_id), item.zone != view.zone

    mean = view.count_running(task.service.name) / len(task.usable)
    picked = _select(task.request.request_id, candidates, LEAST_CANDIDATES)
    return PreferenceList(
        replicas=sorted(picked, key=sort_key),
        max_running=math.floor(mean) + 1,
        mean=mean,
        reason="least",
    )
