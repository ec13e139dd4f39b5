"""Tests of fair shares in an overloaded service, by simulation."""

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


class ServiceSimulation:
    """A service of one replica that runs requests in the order of their ranks.

    Attributes:
      now: Simulated time in seconds.
      served: Completed requests by rank and account.
      rejected: Rejected requests by rank and account.
    """

    def __init__(self, floors: tuple[float, ...], seed: int) -> None:
        self.now = 100.0
        self.served: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )
        self.rejected: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )
        self._floors = floors
        self._random = random.Random(seed)
        self._view = occupancy.Occupancy()
        # Pairs of flow and end time; the end time is None while a request waits
        # for a slot.
        self._admitted: list[list] = []

    def run(self, rates: dict[tuple[int, str], float], seconds: float):
        """Sends requests at random times.

        Args:
          rates: Requests per second by rank and account.
          seconds: Simulated time to run for.
        """
        for _ in range(int(seconds / STEP_S)):
            self.now += STEP_S
            for (rank, account), per_s in rates.items():
                whole = int(per_s * STEP_S)
                rest = per_s * STEP_S - whole
                count = whole + (self._random.random() < rest)
                for _ in range(count):
                    self._send_request(rank, account)
            self._advance()

    def _send_request(self, rank: int, account: str) -> None:
        flow = occupancy.Flow("llm", rank, account, 1.0)
        self._view.record_demand(flow, self.now)
        decision = admission.decide(
            admission.QueueState(
                running=len(self._admitted),
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
        if not decision.admitted:
            self.rejected[rank, account] += 1
            return
        self._view.begin(flow)
        self._admitted.append([flow, None])

    def _advance(self) -> None:
        for item in list(self._admitted):
            if item[1] is not None and item[1] <= self.now:
                self._admitted.remove(item)
                self._view.end(item[0])
                self.served[item[0].rank, item[0].account] += 1
        running = sum(item[1] is not None for item in self._admitted)
        waiting = [item for item in self._admitted if item[1] is None]
        waiting.sort(key=lambda item: item[0].rank)
        for item in waiting[: SLOTS - running]:
            item[1] = self.now + DURATION_S * self._random.uniform(0.5, 1.5)


class FloodTest(unittest.TestCase):
    """One rank sends ten times as many requests as the service can run."""

    def _run(self, flood: int) -> list[float]:
        """Returns the served fraction of each rank's requests.

        Args:
          flood: The rank that floods the service.
        """
        rates = {(rank, "a"): 0.15 * SLOTS for rank in range(3)}
        rates[flood, "a"] = 10.0 * SLOTS
        sim = ServiceSimulation(FLOORS, flood)
        sim.run(rates, 5)
        sim.served.clear()
        sim.run(rates, 20)
        return [
            sim.served[rank, "a"] / (20 * rates[rank, "a"]) for rank in range(3)
        ]

    def test_flood_of_the_highest_rank_leaves_other_ranks_their_floors(self):
        _, normal, low = self._run(0)
        # Both send requests for 0.15 of the service, which is below the floor
        # of one rank and above that of the other.
        self.assertGreater(normal, 0.9)
        self.assertGreater(low, 0.9 * 0.1 / 0.15)

    def test_flood_of_the_lowest_rank_does_not_affect_other_ranks(self):
        urgent, normal, _ = self._run(2)
        self.assertGreater(urgent, 0.95)
        self.assertGreater(normal, 0.9)

    def test_all_slots_are_used_in_a_flood(self):
        for flood in range(3):
            rates = {(rank, "a"): 0.15 * SLOTS for rank in range(3)}
            rates[flood, "a"] = 10.0 * SLOTS
            sim = ServiceSimulation(FLOORS, flood)
            sim.run(rates, 20)
            self.assertGreater(sum(sim.served.values()), 0.9 * 20 * SLOTS)

    def test_floors_of_ranks_without_demand_may_be_used(self):
        sim = ServiceSimulation(FLOORS, 1)
        sim.run({(2, "a"): 2.0 * SLOTS}, 20)
        self.assertGreater(sim.served[2, "a"], 0.9 * 20 * SLOTS)


class AccountShareTest(unittest.TestCase):
    """A few accounts send far more than the others of their rank."""

    def test_small_accounts_are_served(self):
        rates = {(1, f"small-{n}"): 0.02 * SLOTS for n in range(8)}
        for n in range(2):
            rates[1, f"large-{n}"] = 2.0 * SLOTS
        sim = ServiceSimulation((), 1)
        sim.run(rates, 5)
        sim.served.clear()
        sim.rejected.clear()
        sim.run(rates, 20)
        for account in [name for _, name in rates if "small" in name]:
            served = sim.served[1, account]
            rejected = sim.rejected[1, account]
            self.assertGreater(served / (served + rejected), 0.9, account)
        self.assertGreater(sum(sim.served.values()), 0.9 * 20 * SLOTS)

    def test_single_account_may_use_all_slots(self):
        sim = ServiceSimulation((), 2)
        sim.run({(1, "only"): 3.0 * SLOTS}, 20)
        self.assertGreater(sim.served[1, "only"], 0.9 * 20 * SLOTS)


class OccupancyTest(unittest.TestCase):
    """Counts of running requests by service, rank and account."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 2), strategies.sampled_from("ab")
            ),
            max_size=40,
        )
    )
    def test_counts_return_to_zero(self, rank_accounts):
        view = occupancy.Occupancy()
        flows = [
            occupancy.Flow("llm", rank, name, 1.0)
            for rank, name in rank_accounts
        ]
        for flow in flows:
            view.record_demand(flow, 1.0)
            view.begin(flow)
        self.assertEqual(view.count_service("llm"), len(flows))
        self.assertEqual(
            sum(view.count_rank("llm", r) for r in range(3)), len(flows)
        )
        for flow in flows:
            view.end(flow)
        self.assertEqual(view.count_service("llm"), 0)
        self.assertEqual(view.sum_weights("llm", 0, 100.0), 0)
