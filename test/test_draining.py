"""Replicas that say in a response that they are draining."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from agatedock.domain import replicas
from agatedock.native import native_dialect
from agatedock.peers import messages
from agatedock.peers import run_exchange
from agatedock.peers import run_news
from agatedock.views import crash_reports
from agatedock.views import directory
from agatedock.views import health
from test import helper
from test import platform_helper
from test import simulation
from test import test_departures
from test import test_peers

helper.load_profile()

NOW = 1000.0


class ResponseTest(platform_helper.RouterCase):
    """A router heeds the notice in whatever response it comes."""

    async def be_told(self, path: str, name: str, **faults) -> str:
        """Sends requests until a replica said that it drains.

        Args:
          path: Path of the requests.
          name: The replica; its name is returned.
          **faults: Further faults of the replica until then.
        """
        replica = self.replicas[name]
        for fault, value in {"leaving": True, **faults}.items():
            setattr(replica.faults, fault, value)
        for index in range(30):
            await self.call(path, f"told-{index}")
            if any(item.told_leaving_at for item in replica.received_requests):
                break
        else:
            self.fail(f"{name} got no request")
        for fault in faults:
            setattr(replica.faults, fault, False)
        return name

    async def find_preferred(self, path: str) -> str:
        """Returns the replica that gets the requests of a stream's route."""
        await self.call(path, "preferred")
        (run,) = self.list_runs("llm-1", "llm-2")
        return run.headers["X-Agatedock-Expect-Replica"]

    async def assert_unused(self, name: str, path: str) -> None:
        """Asserts that a replica gets no request, and others serve them."""
        before = len(self.replicas[name].received_requests)
        for index in range(8):
            status, _, _ = await self.call(path, f"later-{index}")
            self.assertEqual(status, 200)
        after = len(self.replicas[name].received_requests)
        self.assertEqual(after, before)

    async def test_replica_is_unused_after_any_response_that_says_draining(
        self,
    ):
        preferred = await self.find_preferred(platform_helper.CHAT)
        for path, name, faults in (
            (platform_helper.LOOKUP, "shop-1", {}),
            (platform_helper.ORDER, "shop-1", {}),
            (platform_helper.LOOKUP, "shop-1", {"error": 500}),
            (platform_helper.ORDER, "shop-1", {"shed": True}),
            (platform_helper.CHAT, preferred, {}),
            (platform_helper.DRAFT, preferred, {}),
        ):
            with self.subTest(path=path, **faults):
                await self.restart(name)
                await self.be_told(path, name, **faults)
                await self.assert_unused(name, path)

    async def restart(self, name: str) -> None:
        """Starts a new run of a replica, and waits until it is listed.

        Runs are told apart by the millisecond in which they start, and no
        process starts in the one in which another has just answered.
        """
        await asyncio.sleep(0.002)
        replica = self.replicas[name]
        replica.begin_run()
        replica.received_requests.clear()
        replica.faults.leaving = False
        self.register(name)
        await asyncio.sleep(1.2)

    async def test_replica_is_unused_while_the_store_does_not_reply(self):
        self.store.faults.silent = True
        name = await self.be_told(platform_helper.LOOKUP, "shop-1")
        await self.assert_unused(name, platform_helper.LOOKUP)

    async def test_older_entry_does_not_bring_a_draining_replica_back(self):
        name = await self.be_told(platform_helper.LOOKUP, "shop-1")
        self.replicas[name].slots += 1
        self.register(name)
        await asyncio.sleep(1.2)
        await self.assert_unused(name, platform_helper.LOOKUP)
        self.store.remove(f"servers/{name}")
        await asyncio.sleep(1.2)
        self.register(name)
        await asyncio.sleep(1.2)
        await self.assert_unused(name, platform_helper.LOOKUP)

    async def test_new_process_under_the_same_id_and_address_is_used(self):
        name = await self.be_told(platform_helper.LOOKUP, "shop-1")
        await self.restart(name)
        for index in range(12):
            await self.call(platform_helper.LOOKUP, f"new-{index}")
        self.assertTrue(self.replicas[name].received_requests)

    async def test_stream_is_not_resumed_at_a_replica_that_says_draining(self):
        name = await self.find_preferred(platform_helper.CHAT)
        first = self.replicas[name]
        first.received_requests.clear()
        first.faults.leaving = True
        for item in self.replicas.values():
            item.faults.cut_after = 2
        await self.call(platform_helper.CHAT)
        self.assertEqual(len(first.received_requests), 1)
        self.assertGreater(len(self.list_runs("llm-1", "llm-2")), 1)

    async def test_request_placed_before_the_notice_goes_elsewhere(self):
        """The replica begins to drain while its owner is queried."""
        shared = self.router.core.shared
        marked = []

        async def mark_and_reserve(replica_id, *arguments):
            if not marked:
                marked.append(replica_id)
                replica = shared.directory.get(replica_id)
                shared.directory.mark_draining(replica, shared.now(), 1)
            return

        with (
            mock.patch.object(
                shared.reservations, "is_owner_responsive", return_value=False
            ),
            mock.patch.object(shared.reservations, "reserve", mark_and_reserve),
        ):
            status, _, _ = await self.call(platform_helper.ORDER)
        self.assertEqual(status, 200)
        self.assertEqual(self.replicas[marked[0]].received_requests, [])
        self.assertEqual(shared.loads.get_own_counts(), {})


class NativeTest(unittest.TestCase):
    """The own interface has the same words in its own names."""

    def test_any_response_may_say_draining_and_a_rejection_a_pause(self):
        dialect = native_dialect.NativeDialect()
        request = helper.make_prompted("r", (), NOW)
        headers = {native_dialect.DRAINING_HEADER: "1", "Retry-After": "2"}
        for status, pause in ((200, None), (500, None), (503, "2")):
            notice = dialect.parse_notice(request, status, headers)
            self.assertTrue(notice.draining)
            self.assertEqual(notice.retry_after, pause)


class DirectoryTest(unittest.TestCase):
    """Notices, listings and restarts in any order."""

    def test_new_run_inherits_a_notice_that_came_after_its_entry_was_read(self):
        view = directory.Directory()
        first = helper.make_replica(1)
        second = helper.make_replica(1, started_at_ms=2)
        helper.apply_listing(view, [first], NOW, NOW)
        view.mark_draining(first, NOW + 2, 0)
        helper.apply_listing(view, [second], NOW + 1, NOW + 2.5)
        self.assertEqual(view.list_usable("llm"), [])

    def test_run_that_says_draining_before_it_is_listed_is_not_used(self):
        for started_ms, is_used in ((7_000, False), (9_000, True)):
            with self.subTest(started_ms):
                view = directory.Directory()
                first = helper.make_replica(1)
                helper.apply_listing(view, [first], NOW, NOW)
                view.mark_draining(first, NOW + 1, 8_000)
                second = helper.make_replica(1, started_at_ms=started_ms)
                helper.apply_listing(view, [second], NOW + 2, NOW + 2)
                self.assertEqual(bool(view.list_usable("llm")), is_used)

    def test_removed_draining_entry_is_not_brought_back_by_an_older_one(self):
        view = directory.Directory()
        draining = helper.make_replica(
            1, state=replicas.ReplicaState.DRAINING, sequence=5
        )
        helper.apply_listing(view, [draining], NOW, NOW)
        helper.apply_listing(view, [], NOW + 1, NOW + 1)
        helper.apply_listing(
            view, [helper.make_replica(1, sequence=4)], NOW + 2, NOW + 2
        )
        self.assertEqual(view.list_usable("llm"), [])

    def test_remembered_lifetimes_are_bounded(self):
        view = directory.Directory()
        for number in range(2 * directory.DRAINING_LIFETIMES_MAX):
            view.mark_draining(helper.make_replica(number), NOW, 0)
        self.assertLessEqual(
            len(view._draining),  # noqa: SLF001
            directory.DRAINING_LIFETIMES_MAX,
        )

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["notice", "old", "ready", "restart"]),
                strategies.integers(1, 3),
            ),
            max_size=40,
        )
    )
    def test_no_order_of_events_makes_a_run_usable_after_its_notice(
        self, events
    ):
        view = directory.Directory()
        started = dict.fromkeys((1, 2, 3), 1)
        told: set[tuple[int, int]] = set()
        for sequence, (event, number) in enumerate(events):
            now = NOW + sequence
            current = helper.make_replica(
                number, started_at_ms=started[number], sequence=sequence
            )
            if event == "notice" and view.get(current.replica_id):
                view.mark_draining(current, now, 0)
                told.add((number, started[number]))
            elif event == "restart":
                started[number] += 1
            elif event == "old":
                view.apply_changes([], [current.replica_id], now, now)
            else:
                view.apply_changes([current], [], now, now)
            usable = {
                (int(item.replica_id.split("-")[1]), item.started_at_ms)
                for item in view.list_usable("llm")
            }
            self.assertFalse(usable & told)


class _Router:
    """The directory and the exchange of one router of a simulated fleet."""

    def __init__(self, node: simulation.Node) -> None:
        self.node = node
        self.directory = directory.Directory()
        self.health = health.ReplicaHealth()
        listed = [helper.make_replica(number) for number in range(6)]
        helper.apply_listing(self.directory, listed, 0.0, 0.0)
        self.exchange = run_exchange.RunExchange(
            run_news.make_draining_news(self.directory),
            node.peer_endpoint,
            node.gossip,
            self.directory,
            self.health,
            asyncio.get_running_loop().time,
        )
        self.task = asyncio.create_task(
            run_exchange.run([self.exchange], asyncio.get_running_loop().time)
        )

    def avoids(self, number: int) -> bool:
        """Returns whether other replicas are preferred to one."""
        now = asyncio.get_running_loop().time()
        return self.health.is_suspended(f"replica-{number}", now)


class ExchangeTest(unittest.TestCase):
    """Routers tell each other of replicas that drain."""

    async def start_routers(self, count: int) -> list[_Router]:
        fleet = test_peers.make_fleet(count)
        routers = [_Router(node) for node in fleet.nodes]
        await asyncio.sleep(test_departures.SETTLE_S)
        return routers

    @test_peers.in_virtual_time
    async def test_all_routers_prefer_others_to_a_replica_that_one_was_told_of(
        self,
    ):
        for count in (6, 60):
            with self.subTest(routers=count):
                routers = await self.start_routers(count)
                now = asyncio.get_running_loop().time()
                routers[0].directory.mark_draining(
                    helper.make_replica(3), now, 0
                )
                await asyncio.sleep(1.5)
                others = routers[1:]
                self.assertTrue(all(router.avoids(3) for router in others))
                self.assertFalse(any(router.avoids(2) for router in others))

    @test_peers.in_virtual_time
    async def test_peer_cannot_put_a_replica_out_of_use(self):
        routers = await self.start_routers(3)
        run_hash = crash_reports.hash_run(helper.make_replica(3))
        message = messages.DrainingRuns([run_hash, 12345])
        avoided = 0
        for _ in range(100):
            routers[0].exchange.handle_message(message, ("10.0.0.9", 1))
            await asyncio.sleep(0.5)
            avoided += routers[0].avoids(3)
        self.assertLess(avoided, 20)
        usable = routers[0].directory.list_usable("llm")
        self.assertEqual(len(usable), 6)
