"""Fair refusal at entry: large accounts give way before small ones."""

from __future__ import annotations

import dataclasses

HALF_LIFE_S = 5.0
# How long the level up to which accounts are served is used again.
LEVEL_MAX_AGE_S = 0.1


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
        self._shed = 0.0
        self._level = 0.0
        self._level_at = 0.0

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
        known = self._demands.get(account)
        own = known.decayed(now) if known else 0.0
        if own <= 0:
            return 0.0
        return max(0.0, 1 - self._find_level(shed, now) / own)

    def _find_level(self, shed: float, now: float) -> float:
        """Returns the most work of one account that is admitted."""
        if shed != self._shed or now - self._level_at > LEVEL_MAX_AGE_S:
            demands = sorted(self._current(now).values())
            self._level = _fill(demands, 1 - shed)
            self._shed, self._level_at = shed, now
        return self._level

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
