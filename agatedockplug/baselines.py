"""Simple placements that measurements compare with."""

from __future__ import annotations

import itertools

from agatedock import hashing
from agatedock.decisions import placement
from agatedock.domain import replicas

_turn_counter = itertools.count()

# Nothing enforces a bound.
UNBOUNDED = 1_000_000

# What requests without shared parts get anyway, here for chats as well.
placement.policies.register("two-choices")(placement.order_by_load)


@placement.policies.register("round-robin")
def order_round_robin(
    task: placement.Task,
    candidates: list[replicas.Replica],
    view: placement.FleetView,
) -> placement.PreferenceList:
    """Takes replicas in turn, whatever the chat."""
    ordered = sorted(candidates, key=lambda item: item.replica_id)
    return _make_preference_list(
        ordered[next(_turn_counter) % len(ordered)], task, candidates, view
    )


@placement.policies.register("plain-hash")
def order_by_hash(
    task: placement.Task,
    candidates: list[replicas.Replica],
    view: placement.FleetView,
) -> placement.PreferenceList:
    """Takes the chat's replica by hash."""
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
    view: placement.FleetView,
) -> placement.PreferenceList:
    return placement.PreferenceList(
        replicas=[replica],
        max_running=UNBOUNDED,
        mean=view.count_running(task.service.name) / len(candidates),
        reason="baseline",
    )
