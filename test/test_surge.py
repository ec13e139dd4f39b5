"""What routers believe of the mean while the traffic rises and falls.

Sixty routers as in the users' grown deployments; for some seconds several
times as many requests come as usual.
"""

from __future__ import annotations

import asyncio
import collections
import unittest

from agatedock.decisions import placement
from test import simulation
from test import test_hot

SURGE_FROM_S = 3.0
SURGE_FOR_S = 6.0
AFTER_S = 4.0
# A change of the traffic is known to all routers after this time.
KNOWN_AFTER_S = 2.0


class Play(test_hot.Play):
    """Traffic that rises and falls.

    Attributes:
      means: Believed and true mean of each placement, by its second.
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

    def take_place(self, place: placement.Placement, mean: float) -> None:
        """Notes what was believed and what was so."""
        now = asyncio.get_running_loop().time()
        at = now - simulation.START_TIME_S - test_hot.SETTLE_S
        self.means[int(at)].append((place.mean, mean))
        super().take_place(place, mean)


class SurgeTest(unittest.TestCase):
    """Decisions rest on a mean that is not many seconds old."""

    def test_mean_follows_traffic_of_three_times_the_usual(self):
        """Too low, replicas at the mean are refused; too high, overfilled."""
        self._play(3.0)

    def test_mean_follows_traffic_of_five_times_the_usual(self):
        self._play(5.0)

    def _play(self, factor: float) -> None:
        play = Play(factor, seed=1)
        play.run(SURGE_FROM_S + SURGE_FOR_S + AFTER_S)
        for begin_s in (SURGE_FROM_S, SURGE_FROM_S + SURGE_FOR_S):
            first = int(begin_s + KNOWN_AFTER_S)
            for second in range(first, int(begin_s + AFTER_S)):
                with self.subTest(second=second):
                    self._check(play.means[second])

    def _check(self, means: list[tuple[float, float]]) -> None:
        bound = test_hot.SERVICE.bound
        for believed, mean in means:
            most = placement.compute_max_running(bound, believed)
            self.assertGreaterEqual(most, mean)
            self.assertLessEqual(most, bound.factor * mean + bound.slack + 1)
