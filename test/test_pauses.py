"""Replicas that ask for a pause: a 503 with Retry-After."""

from __future__ import annotations

import asyncio
import time
import unittest

import hypothesis
from hypothesis import strategies

from agatedock.decisions import pauses
from test import helper
from test import platform_helper

helper.load_profile()

NOW = 1000.0
# The platform allows two requests between this time after the response and the
# end of the pause.
REACTION_S = 0.5
REQUESTS_MAX = 2


class PausesTest(unittest.TestCase):
    """Ends of pauses, without a network."""

    def test_values_that_are_absurd_are_bounded(self):
        for text, expected in (
            ("1.5", 1.5),
            ("0", 0.0),
            ("86400", pauses.PAUSE_MAX_S),
            ("inf", pauses.PAUSE_MAX_S),
            ("-3", None),
            ("nan", None),
            ("soon", None),
            ("Fri, 31 Dec 2027 23:59:59 GMT", None),
        ):
            self.assertEqual(pauses.parse_pause_s(text), expected, text)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0, 5), strategies.floats(0, 400)
            ),
            min_size=1,
            max_size=20,
        )
    )
    def test_longer_pause_extends_and_shorter_one_does_not_shorten(self, asked):
        view = pauses.Pauses()
        replica = helper.make_replica(1)
        now = NOW
        ends_at = NOW
        for gap_s, pause_s in asked:
            now += gap_s
            view.record(replica, pause_s, now, 0)
            ends_at = max(ends_at, now + min(pause_s, pauses.PAUSE_MAX_S))
            self.assertEqual(view.is_paused(replica, now), now < ends_at)
        self.assertFalse(view.is_paused(replica, ends_at))
        self.assertEqual(view.list_available([replica], ends_at), [replica])

    def test_new_run_under_the_same_id_is_not_paused(self):
        view = pauses.Pauses()
        view.record(helper.make_replica(1), 10, NOW, 0)
        restarted = helper.make_replica(1, started_at_ms=2)
        self.assertEqual(view.list_available([restarted], NOW), [restarted])

    def test_run_that_asks_before_it_is_listed_is_paused(self):
        for started_ms, is_paused in ((7_000, True), (9_000, False)):
            view = pauses.Pauses()
            view.record(helper.make_replica(1), 10, NOW, 8_000)
            restarted = helper.make_replica(1, started_at_ms=started_ms)
            self.assertEqual(view.is_paused(restarted, NOW + 1), is_paused)

    def test_memory_is_bounded(self):
        view = pauses.Pauses()
        for number in range(2 * pauses.PAUSES_MAX):
            view.record(helper.make_replica(number), 100 + number, NOW, 0)
        self.assertLessEqual(view.count(NOW), pauses.PAUSES_MAX)

    def test_rejected_clients_are_spread_after_the_end_of_the_pause(self):
        returns_s = {pauses.compute_return_s(2.0, f"r{n}") for n in range(100)}
        self.assertGreater(len(returns_s), 90)
        self.assertGreaterEqual(min(returns_s), 2.0)
        self.assertLessEqual(max(returns_s), 2.0 + pauses.RETURN_SPREAD_S)


class RouterTest(platform_helper.RouterCase):
    """What reaches a replica after it asked for a pause."""

    def pause(self, *names: str, retry_after: str = "2") -> None:
        """Lets replicas reject all requests with Retry-After."""
        for name in names:
            self.replicas[name].faults.retry_after = retry_after

    async def send_load(self, path: str, duration_s: float) -> list[int]:
        """Sends a request every 20 ms.

        Returns:
          The statuses of complete responses.
        """
        ends_at = time.monotonic() + duration_s
        tasks = []
        while time.monotonic() < ends_at:
            request_id = f"{path}{len(tasks)}"
            tasks.append(asyncio.create_task(self.call(path, request_id)))
            await asyncio.sleep(0.02)
        outcomes = await asyncio.gather(*tasks, return_exceptions=True)
        return [item[0] for item in outcomes if isinstance(item, tuple)]

    def assert_paused(self, name: str) -> None:
        """Asserts that a replica's pauses were respected."""
        received = self.replicas[name].received_requests
        told = [item for item in received if item.paused_at is not None]
        self.assertTrue(told)
        for item in told:
            too_early = [
                other
                for other in received
                if item.paused_at + REACTION_S
                < other.received_at
                < item.paused_at + item.pause_s
            ]
            self.assertLessEqual(len(too_early), REQUESTS_MAX)

    async def test_paused_replica_gets_no_requests_and_others_serve(self):
        for path in (platform_helper.ORDER, platform_helper.LOOKUP):
            with self.subTest(path):
                await self.be_asked_once(path)
                statuses = await self.send_load(path, 2.5)
                self.assertEqual(set(statuses), {200})
                self.assert_paused("shop-1")

    async def be_asked_once(self, path: str) -> None:
        """Sends requests until shop-1 has asked for a pause once."""
        replica = self.replicas["shop-1"]
        replica.received_requests.clear()
        self.pause("shop-1")
        while not replica.received_requests:
            await self.call(path, f"{path}first")
        self.pause("shop-1", retry_after="")

    async def test_paused_replica_gets_no_requests_without_the_store(self):
        self.store.faults.silent = True
        await self.be_asked_once(platform_helper.LOOKUP)
        await self.send_load(platform_helper.LOOKUP, 2.5)
        self.assert_paused("shop-1")

    async def test_client_is_rejected_at_once_if_all_replicas_are_paused(self):
        self.pause("shop-1", "shop-2")
        status, headers, _ = await self.call(platform_helper.ORDER, "first")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 1.5)
        began_at = time.monotonic()
        status, headers, _ = await self.call(platform_helper.ORDER, "second")
        self.assertLess(time.monotonic() - began_at, 0.2)
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 1.5)
        self.assertLess(
            float(headers["Retry-After"]), 2.0 + pauses.RETURN_SPREAD_S
        )
        await self.send_load(platform_helper.ORDER, 2.5)
        for name in ("shop-1", "shop-2"):
            self.assert_paused(name)
        self.assertEqual(self.list_runs(), [])

    async def test_replica_is_used_again_after_its_pause(self):
        self.pause("shop-1", "shop-2", retry_after="0.6")
        await self.call(platform_helper.ORDER, "first")
        self.pause("shop-1", "shop-2", retry_after="")
        await asyncio.sleep(0.7)
        status, _, _ = await self.call(platform_helper.ORDER, "second")
        self.assertEqual(status, 200)

    async def test_pause_does_not_count_as_a_failure(self):
        self.pause("shop-1", "shop-2")
        await self.call(platform_helper.ORDER)
        shared = self.router.core.shared
        for name in ("shop-1", "shop-2"):
            self.assertEqual(shared.health.failure_rate(name, shared.now()), 0)

    async def test_unreadable_pause_is_bounded_and_logged(self):
        self.pause("shop-1", "shop-2", retry_after="never")
        with self.assertLogs("agatedock.serving.notices", "WARNING"):
            _, headers, _ = await self.call(platform_helper.ORDER)
        self.assertLessEqual(
            float(headers["Retry-After"]),
            pauses.PAUSE_DEFAULT_S + pauses.RETURN_SPREAD_S,
        )

    async def test_stream_is_not_resumed_at_a_paused_replica(self):
        """The other replica breaks the stream off again and again."""
        for item in self.replicas.values():
            item.faults.cut_after = 2
        await self.call(platform_helper.CHAT, "first")
        preferred = self.list_runs()[0].headers["X-Agatedock-Expect-Replica"]
        paused = {"llm-1": "llm-2", "llm-2": "llm-1"}[preferred]
        self.pause(paused)
        await self.send_load(platform_helper.CHAT, 1.9)
        self.assert_paused(paused)
