"""Who gives way when a service is full, by playing the loads themselves."""

from __future__ import annotations

import collections
import random
import unittest

import hypothesis
from hypothesis import strategies

from agatedock.decisions import admission
from agatedock.decisions import shares
from agatedock.views import occupancy
from test import helper

helper.load_profile()

FLOORS = (0.5, 0.2, 0.1)
SLOTS = 40
DURATION_S = 1.0
STEP_S = 0.01


class Play:
    """A service of one replica that takes requests by rank.

    Attributes:
      served: Completed requests by rank and account.
      ahead: Longest time that a request of each account waited to run.
    """

    def __init__(self, floors: tuple[float, ...], seed: int) -> None:
        self.now = 100.0
        self.served: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )
        self.refused: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )
        self._floors = floors
        self._random = random.Random(seed)
        self._view = occupancy.Occupancy()
        # Requests with the time at which they end; None while they wait.
        self._taken: list[list] = []

    def run(self, offers: dict[tuple[int, str], float], seconds: float):
        """Offers requests a second by rank and account, at random times."""
        for _ in range(int(seconds / STEP_S)):
            self.now += STEP_S
            for (rank, account), per_s in offers.items():
                whole = int(per_s * STEP_S)
                rest = per_s * STEP_S - whole
                count = whole + (self._random.random() < rest)
                for _ in range(count):
                    self._offer(rank, account)
            self._step()

    def _offer(self, rank: int, account: str) -> None:
        flow = occupancy.Flow("llm", rank, account, 1.0)
        self._view.record_demand(flow, self.now)
        verdict = admission.decide(
            admission.QueueState(
                running=len(self._taken),
                slots=SLOTS,
                duration_s=DURATION_S,
                target_latency_s=1.0,
                remaining_s=10.0,
                fraction_ahead=self._view.fraction_ahead("llm", rank),
                exceeds_share=shares.exceeds_share(
                    self._view, flow, self._floors, SLOTS, self.now
                ),
            )
        )
        if not verdict.admitted:
            self.refused[rank, account] += 1
            return
        self._view.begin(flow)
        self._taken.append([flow, None])

    def _step(self) -> None:
        for item in list(self._taken):
            if item[1] is not None and item[1] <= self.now:
                self._taken.remove(item)
                self._view.end(item[0])
                self.served[item[0].rank, item[0].account] += 1
        running = sum(item[1] is not None for item in self._taken)
        waiting = [item for item in self._taken if item[1] is None]
        waiting.sort(key=lambda item: item[0].rank)
        for item in waiting[: SLOTS - running]:
            item[1] = self.now + DURATION_S * self._random.uniform(0.5, 1.5)


class FloodTest(unittest.TestCase):
    """Ten times what the service can do, of one rank."""

    def _run(self, flood: int) -> list[float]:
        """Returns the requests served of each rank, as shares of its offer."""
        offers = {(rank, "a"): 0.15 * SLOTS for rank in range(3)}
        offers[flood, "a"] = 10.0 * SLOTS
        play = Play(FLOORS, flood)
        play.run(offers, 5)
        play.served.clear()
        play.run(offers, 20)
        return [
            play.served[rank, "a"] / (20 * offers[rank, "a"])
            for rank in range(3)
        ]

    def test_flood_of_urgent_work_leaves_the_others_their_floors(self):
        _, normal, low = self._run(0)
        # Offers of 0.15 of the service: within the floor, and above it.
        self.assertGreater(normal, 0.9)
        self.assertGreater(low, 0.9 * 0.1 / 0.15)

    def test_flood_of_low_work_leaves_the_others_unharmed(self):
        urgent, normal, _ = self._run(2)
        self.assertGreater(urgent, 0.95)
        self.assertGreater(normal, 0.9)

    def test_whole_service_is_used_in_a_flood(self):
        for flood in range(3):
            offers = {(rank, "a"): 0.15 * SLOTS for rank in range(3)}
            offers[flood, "a"] = 10.0 * SLOTS
            play = Play(FLOORS, flood)
            play.run(offers, 20)
            self.assertGreater(sum(play.served.values()), 0.9 * 20 * SLOTS)

    def test_floors_are_lent_while_nobody_asks(self):
        play = Play(FLOORS, 1)
        play.run({(2, "a"): 2.0 * SLOTS}, 20)
        self.assertGreater(play.served[2, "a"], 0.9 * 20 * SLOTS)


class GreedyTest(unittest.TestCase):
    """A few accounts ask for far more than the others of their rank."""

    def test_small_accounts_are_served(self):
        offers = {(1, f"small-{n}"): 0.02 * SLOTS for n in range(8)}
        for n in range(2):
            offers[1, f"large-{n}"] = 2.0 * SLOTS
        play = Play((), 1)
        play.run(offers, 5)
        play.served.clear()
        play.refused.clear()
        play.run(offers, 20)
        for account in [name for _, name in offers if "small" in name]:
            served = play.served[1, account]
            refused = play.refused[1, account]
            self.assertGreater(served / (served + refused), 0.9, account)
        self.assertGreater(sum(play.served.values()), 0.9 * 20 * SLOTS)

    def test_one_account_alone_gets_everything(self):
        play = Play((), 2)
        play.run({(1, "only"): 3.0 * SLOTS}, 20)
        self.assertGreater(play.served[1, "only"], 0.9 * 20 * SLOTS)


class OccupancyTest(unittest.TestCase):
    """Counts by service, rank and account."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 2), strategies.sampled_from("ab")
            ),
            max_size=40,
        )
    )
    def test_what_begins_and_ends_leaves_nothing(self, holders):
        view = occupancy.Occupancy()
        made = [
            occupancy.Flow("llm", rank, name, 1.0) for rank, name in holders
        ]
        for flow in made:
            view.record_demand(flow, 1.0)
            view.begin(flow)
        self.assertEqual(view.count_service("llm"), len(made))
        self.assertEqual(
            sum(view.count_rank("llm", r) for r in range(3)), len(made)
        )
        for flow in made:
            view.end(flow)
        self.assertEqual(view.count_service("llm"), 0)
        self.assertEqual(view.sum_weights("llm", 0, 100.0), 0)
