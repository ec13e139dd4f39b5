"""Fair refusal at entry: large accounts give way before small ones."""

from __future__ import annotations

import dataclasses

HALF_LIFE_S = 5.0


@dataclasses.dataclass
class _Demand:
    work: float
    at: float

    def decayed(self, now: float) -> float:
        """Returns the demand now, halved every half-life."""
        return self.work * 0.5 ** ((now - self.at) / HALF_LIFE_S)


class Demands:
    """Recent work that each account asked this router for, in one rank."""

    def __init__(self) -> None:
        self._demands: dict[str, _Demand] = {}

    def add(self, account: str, work: float, now: float) -> None:
        """Counts a request of an account; work is divided by its weight."""
        known = self._demands.get(account)
        before = known.decayed(now) if known else 0.0
        self._demands[account] = _Demand(before + work, now)

    def refuse_share(self, account: str, shed: float, now: float) -> float:
        """Returns which share of an account's requests to refuse.

        The admitted share of all demand is filled from the smallest account
        up, so an account below the common level loses nothing.

        Args:
          account: The account asking.
          shed: Share of all demand to refuse.
          now: Monotonic time in seconds.
        """
        if shed <= 0:
            return 0.0
        demands = self._current(now)
        own = demands.get(account, 0.0)
        if own <= 0:
            return 0.0
        level = _fill(sorted(demands.values()), 1 - shed)
        return max(0.0, 1 - level / own)

    def _current(self, now: float) -> dict[str, float]:
        current = {a: d.decayed(now) for a, d in self._demands.items()}
        for account in [a for a, work in current.items() if work < 1.0]:
            del self._demands[account]
            del current[account]
        return current


def _fill(ordered: list[float], admitted: float) -> float:
    """Returns the level that cuts demands so that a share is left."""
    left = sum(ordered) * admitted
    for index, demand in enumerate(ordered):
        level = left / (len(ordered) - index)
        if demand >= level:
            return level
        left -= demand
    return ordered[-1] if ordered else 0.0
