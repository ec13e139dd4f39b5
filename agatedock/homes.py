"""Which router is the home of an engine."""

from __future__ import annotations

from collections.abc import Sequence

from agatedock import hashing
from agatedock import members


def choose(
    engine: str, failure_domain: str, routers: Sequence[members.Member]
) -> members.Member | None:
    """Returns the home of an engine among the routers that are up.

    Routers in the engine's failure domain go first, so that a lost domain
    takes engines and homes together and relaying stays local.
    """
    near = [r for r in routers if r.item.failure_domain == failure_domain]
    by_name = {r.name: r for r in near or routers}
    name = hashing.choose(engine, by_name)
    return by_name[name] if name is not None else None
