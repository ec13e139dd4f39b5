"""Loads of all engines as far as this router knows them."""

from __future__ import annotations

import dataclasses
import math

from agatedock import fleet
from agatedock import gate
from agatedock import homes
from agatedock import members
from agatedock import upstreams
from agatedock import wire

# Standard deviations by which the mean load may have fallen unseen.
MEAN_MARGIN = 1.5
# How long sums over the other routers' states are used again.
SUM_MAX_AGE_S = 0.05
# How long what a home published counts; about twice the time in which 360
# routers tell each other.
PRESSURE_MAX_AGE_S = 45.0


@dataclasses.dataclass
class _Others:
    """What the other routers said of one model, summed up.

    Attributes:
      averages: Mean requests, running and waiting, on an engine by home.
      shed: Pressure by rank, summed up over the engines that it speaks for.
      shed_engines: Number of those engines.
    """

    at: float
    engines: int
    load: int
    averages: dict[str, float]
    shed: list[float]
    shed_engines: int = 0


class Loads:
    """Sums of what homes publish, with this home's own loads as they are."""

    def __init__(
        self,
        table: members.Table,
        known: upstreams.View,
        home_map: homes.Map,
        gates: dict[str, gate.Gate],
    ):
        self._table = table
        self._upstreams = known
        self._homes = home_map
        self._gates = gates
        self._others: dict[str, _Others] = {}

    def describe_own(self) -> tuple[wire.ModelLoad, ...]:
        """Returns the load of this home's engines by model."""
        by_model: dict[str, list[gate.Gate]] = {}
        for engine, held in self._gates.items():
            known = self._upstreams.upstreams.get(engine)
            if known is not None and not known.leaving:
                by_model.setdefault(known.listed.service, []).append(held)
        return tuple(
            _sum_up(model, held) for model, held in sorted(by_model.items())
        )

    def find_mean(self, model: str, now: float) -> gate.Mean:
        """Returns the mean load of a model's engines.

        The loads of other homes are some tenths of a second old; meanwhile
        the total moves by about its square root.
        """
        others = self._sum_others(model, now)
        engines, load = others.engines, others.load
        for item in self.describe_own():
            if item.model == model:
                engines += item.engines
                load += item.load
        if not engines:
            return gate.Mean(0.0, 0.0)
        low = max(0.0, load - MEAN_MARGIN * math.sqrt(load))
        return gate.Mean(load / engines, low / engines)

    def find_shed(self, model: str, rank: int, now: float) -> float:
        """Returns the share of a rank's requests that homes want refused."""
        others = self._sum_others(model, now)
        engines, shed = others.shed_engines, others.shed[rank]
        for item in self.describe_own():
            if item.model == model:
                engines += item.engines
                shed += item.engines * item.shed_permille[rank] / 1000
        return shed / engines if engines else 0.0

    def list_names(
        self, model: str, excluded: tuple[str, ...], now: float
    ) -> list[str]:
        """Returns the live engines of a model that are not excluded."""
        return [
            u.name
            for u in self._upstreams.list_live(model, now)
            if u.name not in excluded
        ]

    def find_load(self, engine: str, now: float) -> float:
        """Returns the best known requests on an engine, running and queued."""
        own = self._gates.get(engine)
        if own is not None:
            return own.load() + len(own.queue)
        home = self._homes.find(engine)
        known = self._upstreams.upstreams.get(engine)
        if home is None or known is None:
            return 0.0
        averages = self._sum_others(known.listed.service, now).averages
        return averages.get(home.name, 0.0)

    def _sum_others(self, model: str, now: float) -> _Others:
        known = self._others.get(model)
        if known is not None and now - known.at < SUM_MAX_AGE_S:
            return known
        summed = _Others(now, 0, 0, {}, [0.0] * fleet.RANKS_COUNT)
        for member in self._table.list_up():
            if member.state is None or member.name == self._table.own.name:
                continue
            for item in member.state.loads:
                if item.model == model and item.engines:
                    summed.engines += item.engines
                    summed.load += item.load
                    total = item.load + item.waiting
                    summed.averages[member.name] = total / item.engines
                    # Old pressure must not keep callers out.
                    if now - member.state_at < PRESSURE_MAX_AGE_S:
                        _add_shed(summed, item)
        self._others[model] = summed
        return summed


def _add_shed(summed: _Others, item: wire.ModelLoad) -> None:
    summed.shed_engines += item.engines
    for rank, permille in enumerate(item.shed_permille):
        summed.shed[rank] += item.engines * permille / 1000


def _sum_up(model: str, held: list[gate.Gate]) -> wire.ModelLoad:
    ranks = range(len(held[0].shed))
    return wire.ModelLoad(
        model,
        len(held),
        sum(g.load() for g in held),
        sum(len(g.queue) for g in held),
        tuple(
            int(sum(g.shed[rank] for g in held) / len(held) * 1000)
            for rank in ranks
        ),
    )
