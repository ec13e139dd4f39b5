"""Summaries of a router's state, for the dump."""

from __future__ import annotations

from agatedock import holdings
from agatedock import homes
from agatedock import members
from agatedock import upstreams


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
