"""Summaries of a router's state, for the dump and for shedding."""

from __future__ import annotations

from collections.abc import Iterable

from agatedock import holdings
from agatedock import homes
from agatedock import members
from agatedock import upstreams


def average_shed(
    routers: Iterable[members.Member],
    model: str,
    rank: int,
    now: float,
    max_age_s: float,
) -> float:
    """Returns the share of a rank that the homes of a model want refused.

    What a home published counts only for a while, so that silence of a home
    never keeps callers out.
    """
    engines = 0
    weighted = 0.0
    for member in routers:
        if member.state is None or now - member.state_at > max_age_s:
            continue
        for item in member.state.loads:
            if item.model == model and len(item.shed_permille) > rank:
                engines += item.engines
                weighted += item.engines * item.shed_permille[rank] / 1000
    return weighted / engines if engines else 0.0


def describe_members(table: members.Table, now: float) -> list[dict]:
    """Returns the routers as this one sees them."""
    return [
        {
            "name": member.name,
            "status": member.status.name.lower(),
            "host": member.item.host,
            "peer_port": member.item.peer_port,
            "failure_domain": member.item.failure_domain,
            "revision": member.state.revision if member.state else None,
            "state_age_ms": int((now - member.state_at) * 1000)
            if member.state
            else None,
        }
        for member in sorted(table.members.values(), key=lambda m: m.name)
    ]


def describe_upstreams(
    known: upstreams.View, home_map: homes.Map, now: float
) -> list[dict]:
    """Returns the upstreams as this router sees them."""
    rows = []
    for upstream in sorted(known.upstreams.values(), key=lambda u: u.name):
        owner = home_map.find(upstream.name)
        rows.append(
            {
                "name": upstream.name,
                "service": upstream.listed.service,
                "failure_domain": upstream.listed.failure_domain,
                "url": upstream.url,
                "leaving": upstream.leaving,
                "held_back": now < upstream.held_until,
                "home": owner.name if owner else None,
            }
        )
    return rows


def describe_gates(held_here: holdings.Holdings, now: float) -> list[dict]:
    """Returns the engines that this router is the home of."""
    return [
        {
            "name": held.engine,
            "running": len(held.runs),
            "foreign": held.foreign,
            "queued": len(held.queue),
            "open": now >= held.open_from,
            "usable": held.is_usable(now),
            "tokens_per_s": round(held.tokens_per_s, 1),
            "shed": [round(share, 3) for share in held.shed],
        }
        for held in sorted(held_here.gates.values(), key=lambda g: g.engine)
    ]
