"""Chooses the replica that cached prompt parts are fetched from."""

from __future__ import annotations

from agatedock import hashing
from agatedock.decisions import fleet_view
from agatedock.domain import replicas
from agatedock.domain import requests
from agatedock.views import reservation_table


def find_source(
    request: requests.Request,
    chosen: replicas.Replica,
    homes: frozenset[str] | None,
    view: fleet_view.FleetView,
    now: float,
) -> replicas.Replica | None:
    """Returns a replica that has more of a prompt cached than the chosen one.

    Of those with the same parts, one in the failure domain of the chosen
    replica is preferred if domains are considered.

    Args:
      request: The request.
      chosen: The replica that it is sent to.
      homes: Regions that its parts may be fetched from; None for all.
      view: Holders of the parts of the prompt.
      now: Present time in seconds.

    Returns:
      The source; None if there is none, or none that is known to run.
    """
    for part in reversed(request.shared_parts):
        holders = _list_holders(part, view, now)
        if hashing.hash_name(chosen.replica_id) in holders:
            return None
        sources = [
            source
            for source in map(view.find_replica, holders)
            if source is not None
            and source.service == chosen.service
            and _allows_fetch(source, homes, view, now)
        ]
        if sources:
            return _prefer_domain(sources, chosen, view)
    return None


def _allows_fetch(
    source: replicas.Replica,
    homes: frozenset[str] | None,
    view: fleet_view.FleetView,
    now: float,
) -> bool:
    return (
        not view.is_paused(source, now)
        and not view.is_evacuated(source.zone)
        and (homes is None or source.region in homes)
    )


def _prefer_domain(
    sources: list[replicas.Replica],
    chosen: replicas.Replica,
    view: fleet_view.FleetView,
) -> replicas.Replica:
    if view.get_leaving_share(chosen.service) is None:
        return sources[0]
    return min(sources, key=lambda source: source.zone != chosen.zone)


def count_unread_tokens(
    request: requests.Request,
    holder: replicas.Replica,
    view: fleet_view.FleetView,
    now: float,
) -> int:
    """Returns the tokens of a prompt that are not in a replica's cache.

    A cached part is used only if all parts before it are cached, too. So the
    last cached part decides.
    """
    holder_hash = hashing.hash_name(holder.replica_id)
    unread_tokens = 0
    for part in reversed(request.prompt):
        if holder_hash in _list_holders(part, view, now):
            break
        unread_tokens += part.tokens
    return unread_tokens


def _list_holders(
    part: requests.PromptPart, view: fleet_view.FleetView, now: float
) -> list[int]:
    """Returns the hashes of the replicas that have a part in their caches."""
    return view.prefixes.list_holders(
        hashing.hash_name(part.part_id), now - reservation_table.PART_TTL_S
    )
