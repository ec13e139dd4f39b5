"""Tests how fast the routers' mean load follows a surge of the traffic.

The simulated fleet has 60 routers, as the hosting platform's grown deployment.
For some seconds the request rate is several times the usual one.
"""

from __future__ import annotations

import asyncio
import collections
import unittest

from agatedock.decisions import load_bounds
from agatedock.decisions import placement
from test import simulation
from test import test_hot

SURGE_FROM_S = 3.0
SURGE_FOR_S = 6.0
AFTER_S = 4.0
# Within this time a change of the traffic must reach the estimates of all
# routers.
PROPAGATION_S = 2.0


class TrafficSimulation(test_hot.TrafficSimulation):
    """Traffic that rises and falls.

    Attributes:
      means: Estimated and true mean of running requests at each placement, by
        the second of the simulation.
    """

    def __init__(self, factor: float, seed: int) -> None:
        super().__init__(test_hot.CALM, seed)
        self._factor = factor
        self.means: collections.defaultdict[int, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )

    def _draw_count(self, per_s: float) -> int:
        now = asyncio.get_running_loop().time()
        at = now - simulation.START_TIME_S - test_hot.SETTLE_S
        rises = SURGE_FROM_S <= at < SURGE_FROM_S + SURGE_FOR_S
        return super()._draw_count(per_s * (self._factor if rises else 1.0))

    def record_placement(
        self, chosen: placement.Placement, mean: float
    ) -> None:
        """Records the estimated and the true mean at a placement."""
        now = asyncio.get_running_loop().time()
        at = now - simulation.START_TIME_S - test_hot.SETTLE_S
        self.means[int(at)].append((chosen.mean, mean))
        super().record_placement(chosen, mean)


class SurgeTest(unittest.TestCase):
    """Placements use a mean that is at most a few seconds old."""

    def test_mean_follows_traffic_of_three_times_the_usual(self):
        """The estimated mean must be neither too low nor too high.

        If it is too low, reservations at replicas with the mean load are
        denied. If it is too high, replicas are overloaded.
        """
        self._check_surge(3.0)

    def test_mean_follows_traffic_of_five_times_the_usual(self):
        self._check_surge(5.0)

    def _check_surge(self, factor: float) -> None:
        sim = TrafficSimulation(factor, seed=1)
        sim.run(SURGE_FROM_S + SURGE_FOR_S + AFTER_S)
        for begin_s in (SURGE_FROM_S, SURGE_FROM_S + SURGE_FOR_S):
            first = int(begin_s + PROPAGATION_S)
            for second in range(first, int(begin_s + AFTER_S)):
                with self.subTest(second=second):
                    self._check(sim.means[second])

    def _check(self, means: list[tuple[float, float]]) -> None:
        bound = test_hot.SERVICE.bound
        for estimated, mean in means:
            max_running = load_bounds.compute_max_running(bound, estimated)
            self.assertGreaterEqual(max_running, mean)
            self.assertLessEqual(
                max_running, bound.factor * mean + bound.slack + 1
            )
