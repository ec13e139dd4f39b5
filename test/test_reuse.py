"""Tests cache reuse against an oracle that knows all caches and loads."""

from __future__ import annotations

import asyncio
import collections
import random
import unittest

from agatedock.decisions import placement
from agatedock.domain import configuration
from agatedock.domain import requests
from agatedock.views import directory
from test import helper
from test import simulation

helper.load_profile()

ROUTERS = 6
REPLICAS = 6
REQUESTS = 3000
STEP_S = 0.02
DURATION_S = 1.2
SETTLE_S = 4.0
# Capacity of a replica's cache.
CACHE_TOKENS = 120_000
# Shared tokens of each kind of prompt, and its fraction of the requests, as in
# the hosting platform's traffic figures.
KINDS = ((10_512, 0.16), (699, 0.54), (2_041, 0.30))
PARTS_EACH = 30
SERVICE = configuration.Service("llm", configuration.LoadBound(2.0, 3.0))


class Cache:
    """Prompt parts in the cache of one replica, with LRU eviction."""

    def __init__(self) -> None:
        self._parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._tokens = 0

    def read(self, part: requests.PromptPart) -> int:
        """Returns the tokens that were not cached, and caches the part."""
        cached = part.part_id in self._parts
        self._parts[part.part_id] = part.tokens
        self._parts.move_to_end(part.part_id)
        if cached:
            return 0
        self._tokens += part.tokens
        while self._tokens > CACHE_TOKENS:
            self._tokens -= self._parts.popitem(last=False)[1]
        return part.tokens


class CacheSimulation:
    """Requests with shared prompt parts over some routers and replicas.

    Attributes:
      replicas: The replicas of the service.
      directory: The replicas as routers see them.
      caches: Caches by replica id.
      read_tokens: Shared tokens that were not cached.
      shared_tokens: Shared tokens of all requests.
      max_excess: Most requests by which a replica exceeded its load bound;
        0 if none did.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self.replicas = [
            helper.make_replica(n, slots=64) for n in range(REPLICAS)
        ]
        self.directory = directory.Directory()
        helper.apply_listing(self.directory, self.replicas, 0.0, 0.0)
        self.caches = {item.replica_id: Cache() for item in self.replicas}
        self.read_tokens = 0
        self.shared_tokens = 0
        self.max_excess = 0.0
        self._running: collections.Counter[str] = collections.Counter()

    def run(self) -> None:
        """Places all requests in the order of time."""
        simulation.run(self._run())

    async def _run(self) -> None:
        fleet = simulation.Fleet(ROUTERS, self.directory)
        await asyncio.sleep(SETTLE_S)
        tasks = []
        for number in range(REQUESTS):
            await asyncio.sleep(STEP_S)
            node = self._random.choice(fleet.nodes)
            placing = self._place(node, number, self.draw_part())
            tasks.append(asyncio.create_task(placing))
        await asyncio.gather(*tasks)

    def draw_part(self) -> requests.PromptPart:
        """Returns a random shared part; a few of each kind are frequent."""
        weights = [share for _, share in KINDS]
        kind = self._random.choices(range(len(KINDS)), weights)[0]
        index = int(PARTS_EACH * self._random.random() ** 3)
        return requests.PromptPart(f"{kind}-{index}", KINDS[kind][0])

    async def _place(
        self, node: simulation.Node, number: int, part: requests.PromptPart
    ) -> None:
        now = asyncio.get_running_loop().time()
        own = requests.PromptPart(f"own-{number}", 100)
        request = helper.make_prompted(f"r{number}", (part, own), now)
        task = placement.Task(request, SERVICE, self.replicas)
        chosen = await node.placer.place(task, now)
        name = chosen.replica.replica_id
        self._running[name] += 1
        node.running[SERVICE.name] += 1
        self.shared_tokens += part.tokens
        self.read_tokens += self.caches[name].read(part)
        self._check_bound(name)
        await asyncio.sleep(DURATION_S)
        node.reservations.release(name)
        self._running[name] -= 1
        node.running[SERVICE.name] -= 1

    def _check_bound(self, name: str) -> None:
        mean = sum(self._running.values()) / REPLICAS
        bound = SERVICE.bound.factor * mean + SERVICE.bound.slack
        self.max_excess = max(self.max_excess, self._running[name] - bound)


class Oracle(CacheSimulation):
    """Places with knowledge of all caches and loads, to reuse the most."""

    def run(self) -> None:
        """Places all requests in the order of time."""
        ends: collections.deque[tuple[float, str]] = collections.deque()
        for number in range(REQUESTS):
            now = number * STEP_S
            while ends and ends[0][0] <= now:
                self._running[ends.popleft()[1]] -= 1
            self._random.choice(self.replicas)
            part = self.draw_part()
            name = self._choose(part, len(ends) / REPLICAS)
            self.shared_tokens += part.tokens
            self.read_tokens += self.caches[name].read(part)
            self._running[name] += 1
            ends.append((now + DURATION_S, name))

    def _choose(self, part: requests.PromptPart, mean: float) -> str:
        limit = SERVICE.bound.factor * mean + SERVICE.bound.slack
        below_bound = [
            name for name in self.caches if self._running[name] + 1 <= limit
        ]
        holders = [
            name
            for name in below_bound
            if part.part_id in self.caches[name]._parts  # noqa: SLF001
        ]
        return min(holders or below_bound, key=lambda item: self._running[item])


class ReuseTest(unittest.TestCase):
    """Cache reuse of 6 routers and 6 replicas, 90 shared parts, 3 sizes."""

    def test_share_of_what_an_oracle_reuses(self):
        """The share is at least 0.9, and no replica exceeds its load bound."""
        for seed in (1, 2, 3):
            sim, oracle = CacheSimulation(seed), Oracle(seed)
            sim.run()
            oracle.run()
            reused = 1 - sim.read_tokens / sim.shared_tokens
            best = 1 - oracle.read_tokens / oracle.shared_tokens
            with self.subTest(seed=seed):
                self.assertGreater(reused, 0.9 * best)
                self.assertLessEqual(sim.max_excess, 0)


if __name__ == "__main__":
    for number in (1, 2, 3):
        ours, ideal = CacheSimulation(number), Oracle(number)
        ours.run()
        ideal.run()
        print(
            f"seed {number}: reused "
            f"{1 - ours.read_tokens / ours.shared_tokens:.3f} of shared "
            f"tokens, oracle {1 - ideal.read_tokens / ideal.shared_tokens:.3f}"
        )
