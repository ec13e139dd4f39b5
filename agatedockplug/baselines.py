"""Simple placement policies, as baselines for measurements."""

from __future__ import annotations

import itertools

from agatedock import hashing
from agatedock.decisions import fleet_view
from agatedock.decisions import placement
from agatedock.domain import replicas

_turn_counter = itertools.count()

# Maximum number of running requests that never limits a replica, because these
# policies have no load bound.
UNBOUNDED = 1_000_000

# The policy for requests without a shared prompt part, here for chats as well.
placement.policies.register("two-choices")(placement.order_by_load)


@placement.policies.register("round-robin")
def order_round_robin(
    task: placement.Task,
    candidates: list[replicas.Replica],
    view: fleet_view.FleetView,
) -> placement.PreferenceList:
    """Prefers the replicas in turn, independent of the chat."""
    ordered = sorted(candidates, key=lambda item: item.replica_id)
    return _make_preference_list(
        ordered[next(_turn_counter) % len(ordered)], task, candidates, view
    )


@placement.policies.register("plain-hash")
def order_by_hash(
    task: placement.Task,
    candidates: list[replicas.Replica],
    view: fleet_view.FleetView,
) -> placement.PreferenceList:
    """Prefers the replica with the highest hash score for the chat."""
    replicas_by_id = {item.replica_id: item for item in candidates}
    chosen_id = hashing.sort_by_score(
        task.request.affinity_key, replicas_by_id
    )[0]
    return _make_preference_list(
        replicas_by_id[chosen_id], task, candidates, view
    )


def _make_preference_list(
    replica: replicas.Replica,
    task: placement.Task,
    candidates: list[replicas.Replica],
    view: fleet_view.FleetView,
) -> placement.PreferenceList:
    return placement.PreferenceList(
        replicas=[replica],
        max_running=UNBOUNDED,
        mean=view.count_running(task.service.name) / len(candidates),
        reason="baseline",
    )
