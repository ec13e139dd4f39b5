"""Replicas that go dark: they send nothing and reset no connection."""

from __future__ import annotations

import asyncio
import unittest

from agatedock.decisions import silence
from agatedock.domain import configuration
from agatedock.serving import silences
from agatedock.views import health
from test import helper
from test import platform_helper
from test import simulation

NOW = simulation.START_TIME_S


def make_route(**overrides) -> configuration.Route:
    """Returns a route of streams that may not be resumed."""
    fields = {
        "name": "chat",
        "kind": configuration.RouteKind.STREAM,
        "backends": (configuration.Backend("llm", 1.0),),
        "timeout_s": 12.0,
        "target_latency_s": 0.8,
        "rank": 1,
        "replicas_max": 1,
        "public": False,
        "resumable": False,
        "target_gap_s": 0.3,
        **overrides,
    }
    return configuration.Route(**fields)


class LimitTest(unittest.TestCase):
    """How long a replica may send nothing."""

    def test_limits_follow_from_what_callers_wait_for(self):
        for target_s, gap_s, has_begun, limit_s in (
            (0.8, 0.3, False, 1.2),
            (2.0, 0.3, False, 3.0),
            (0.1, 0.3, False, silence.HEAD_MIN_S),
            (0.8, 0.3, True, silence.GAP_MIN_S),
            (0.8, 0.8, True, 1.2),
            # Without a known pause, a stream is judged as its beginning.
            (0.8, 0.0, True, 1.2),
        ):
            with self.subTest(target_s=target_s, gap_s=gap_s, begun=has_begun):
                route = make_route(
                    target_latency_s=target_s, target_gap_s=gap_s
                )
                self.assertAlmostEqual(
                    silence.compute_limit_s(route, has_begun), limit_s
                )

    def test_silence_counts_from_the_request_or_the_last_data(self):
        wait = silence.compute_wait_s
        self.assertEqual(wait(1.0, 10.0, 5.0, 10.5), 0.5)
        self.assertAlmostEqual(wait(1.0, 10.0, 10.8, 11.5), 0.3)
        self.assertEqual(wait(1.0, 10.0, float("-inf"), 12.0), 0.0)


class WatchTest(unittest.TestCase):
    """Requests that wait, in virtual time."""

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.health = health.ReplicaHealth()
        self.silences = silences.Silences(self.health, loop.time)
        self.silences.is_enabled = True
        self.replica = helper.make_replica(1)

    def is_avoided(self) -> bool:
        now = asyncio.get_running_loop().time()
        return self.health.is_suspended("replica-1", now)

    async def send_events(self, duration_s: float) -> None:
        """Lets the replica send to other callers for some time."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + duration_s
        while loop.time() < end_at:
            self.health.record_activity("replica-1", loop.time())
            await asyncio.sleep(0.03)

    def play(self, coroutine) -> None:
        simulation.run(coroutine)

    def test_silent_replica_is_avoided_and_told_once(self):
        async def play() -> None:
            self.start()
            with self.silences.watch(self.replica, make_route(), lambda: True):
                await self.send_events(0.5)
                await asyncio.sleep(silence.GAP_MIN_S - 0.1)
                self.assertFalse(self.is_avoided())
                await asyncio.sleep(1.0)
                self.assertTrue(self.is_avoided())
                await asyncio.sleep(5.0)
                self.assertTrue(self.is_avoided())
            self.assertEqual(self.silences.told[0], self.replica)
            await asyncio.sleep(silence.AVOIDED_S)
            self.assertFalse(self.is_avoided())

        self.play(play())

    def test_replica_that_serves_others_is_not_silent(self):
        async def play() -> None:
            self.start()
            with self.silences.watch(self.replica, make_route(), lambda: False):
                await self.send_events(8.0)
                self.assertFalse(self.is_avoided())
            self.assertEqual(self.silences.count, 0)

        self.play(play())

    def test_request_that_ends_is_not_watched_any_more(self):
        async def play() -> None:
            self.start()
            with self.silences.watch(self.replica, make_route(), lambda: False):
                await asyncio.sleep(0.5)
            await asyncio.sleep(5.0)
            self.assertFalse(self.is_avoided())

        self.play(play())

    def test_nothing_is_watched_without_the_setting(self):
        async def play() -> None:
            self.start()
            self.silences.is_enabled = False
            with self.silences.watch(self.replica, make_route(), lambda: True):
                await asyncio.sleep(9.0)
                self.assertFalse(self.is_avoided())

        self.play(play())


class RouterTest(platform_helper.RouterCase):
    """A replica of which nothing comes, and requests that run only once."""

    async def test_new_requests_go_to_others(self):
        shared = self.router.core.shared
        shared.silences.is_enabled = True
        for name in ("shop-1", "shop-2"):
            self.replicas[name].faults.hang = name == "shop-1"
        waiting = [
            asyncio.create_task(self.call(platform_helper.ORDER, f"w{number}"))
            for number in range(6)
        ]
        # The target latency of the route is 0.4 s.
        await asyncio.sleep(silence.HEAD_MIN_S + 0.3)
        reached_before = len(self.list_runs("shop-1"))
        self.assertGreater(reached_before, 0)
        for number in range(20):
            status, _, _ = await self.call(platform_helper.ORDER, f"r{number}")
            self.assertEqual(status, 200)
        self.assertEqual(len(self.list_runs("shop-1")), reached_before)
        self.assertEqual(shared.silences.count, 1)
        for task in waiting:
            task.cancel()
