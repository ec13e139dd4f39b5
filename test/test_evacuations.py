"""Failure domains that are evacuated and taken back."""

from __future__ import annotations

import asyncio
import unittest

from agatedock import hashing
from agatedock.decisions import fetching
from agatedock.domain import requests
from agatedock.peers import snapshots
from agatedock.views import directory
from agatedock.views import evacuations
from agatedock_platform import entries
from test import helper
from test import platform_helper
from test import test_departures
from test import test_peers

NOW = 100.0
EVACUATION = "op/evacuate/b"
# EvacuateMs of the platform is 5 s; without a fault the next listing does it.
APPLIED_S = 2.0


class ViewTest(unittest.TestCase):
    """The evacuated domains that one router knows of."""

    def setUp(self):
        self.view = evacuations.Evacuations()

    def test_domain_is_taken_back(self):
        self.view.apply_changes(["b"], [], NOW)
        self.assertTrue(self.view.includes("b"))
        returned = self.view.apply_changes([], ["b"], NOW + 1)
        self.assertEqual(returned, {"b"})
        self.assertFalse(self.view.includes("b"))

    def test_copy_of_the_store_without_the_key_does_not_end_it_at_once(self):
        self.view.apply_changes(["b"], [], NOW)
        self.view.handle_restore(NOW + 1)
        self.assertFalse(self.view.apply_changes([], ["b"], NOW + 1))
        self.assertTrue(self.view.includes("b"))
        later = NOW + 1 + evacuations.RESTORE_GRACE_S
        self.assertEqual(self.view.apply_changes([], [], later), {"b"})

    def test_operator_writes_it_again_after_a_restore(self):
        self.view.apply_changes(["b"], [], NOW)
        self.view.handle_restore(NOW + 1)
        self.view.apply_changes([], ["b"], NOW + 1)
        self.view.apply_changes(["b"], [], NOW + 2)
        self.assertFalse(self.view.apply_changes([], [], NOW + 9))
        self.assertTrue(self.view.includes("b"))

    def test_announced_domain_counts_until_it_is_withdrawn(self):
        self.view.set_announced(["b"])
        self.assertTrue(self.view.includes("b"))
        self.view.set_announced([])
        self.assertFalse(self.view.includes("b"))

    def test_replicas_of_the_domain_are_not_used(self):
        view = directory.Directory()
        known = [helper.make_replica(n, zone="ab"[n % 2]) for n in range(4)]
        helper.apply_listing(view, known, NOW, NOW)
        self.assertEqual(len(view.list_usable("llm")), 4)
        view.evacuations.apply_changes(["b"], [], NOW)
        zones = {item.zone for item in view.list_usable("llm")}
        self.assertEqual(zones, {"a"})
        self.assertFalse(view.is_usable(known[1]))
        view.evacuations.apply_changes([], ["b"], NOW)
        self.assertEqual(len(view.list_usable("llm")), 4)

    def test_nothing_is_fetched_from_the_domain(self):
        view = directory.Directory()
        known = [helper.make_replica(n, zone="ab"[n % 2]) for n in range(2)]
        helper.apply_listing(view, known, NOW, NOW)
        local = helper.LocalView(view)
        prompt = (requests.PromptPart("p", 5000), requests.PromptPart("o", 9))
        request = helper.make_prompted("r", prompt, NOW)
        local.prefixes.add_holder(
            hashing.hash_name("p"), hashing.hash_name("replica-1"), NOW
        )

        def find_source():
            return fetching.find_source(
                request, known[0], None, local.view, NOW
            )

        self.assertEqual(find_source(), known[1])
        view.evacuations.apply_changes(["b"], [], NOW)
        self.assertIsNone(find_source())


class AnnouncementTest(unittest.TestCase):
    """Evacuations that go ahead of a large listing."""

    @test_peers.in_virtual_time
    async def test_all_routers_learn_of_an_evacuation_at_once(self):
        fleet = await test_departures.start_routers(88)
        reader = test_departures.find_reader(fleet)
        reader.position = snapshots.Position("store", 12)
        reader.directory.evacuations.apply_changes(["a"], [], NOW)
        reader.departures.handle_listing([])
        await asyncio.sleep(test_departures.SPREAD_MAX_S)
        for router in fleet:
            self.assertTrue(router.directory.evacuations.includes("a"))
        # The listing decides once it has reached the change.
        router = next(item for item in fleet if item is not reader)
        router.position = snapshots.Position("store", 13)
        router.departures.handle_listing([])
        self.assertFalse(router.directory.evacuations.includes("a"))

    @test_peers.in_virtual_time
    async def test_listing_that_has_passed_the_change_is_not_overruled(self):
        fleet = await test_departures.start_routers(7)
        reader = test_departures.find_reader(fleet)
        for router in fleet:
            router.position = snapshots.Position("store", 12)
        reader.directory.evacuations.apply_changes(["a"], [], NOW)
        reader.departures.handle_listing([])
        await asyncio.sleep(test_departures.SPREAD_MAX_S)
        knowing = [r for r in fleet if r.directory.evacuations.includes("a")]
        self.assertEqual(knowing, [reader])


class RouterTest(platform_helper.RouterCase):
    """A router on the platform, with replicas in the domains a and b."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for name in ("llm-2", "shop-2"):
            self.replicas[name].zone = "b"
            self.register(name)
        await asyncio.sleep(APPLIED_S)

    async def send(self, count: int = 20) -> set[int]:
        """Sends chats and orders; returns the statuses."""
        statuses = set()
        for number in range(count):
            for path in (platform_helper.CHAT, platform_helper.ORDER):
                status, _, _ = await self.call(path, f"{path}-{number}")
                statuses.add(status)
        return statuses

    def clear_runs(self) -> None:
        for item in self.replicas.values():
            item.received_requests.clear()

    async def test_evacuated_domain_gets_nothing_until_it_is_taken_back(self):
        self.store.put(EVACUATION, b"\xff not read")
        await asyncio.sleep(APPLIED_S)
        self.clear_runs()
        self.assertEqual(await self.send(), {200})
        self.assertEqual(self.list_runs("llm-2", "shop-2"), [])
        self.store.remove(EVACUATION)
        await asyncio.sleep(APPLIED_S)
        self.replicas["shop-1"].work_s = 0.1
        await asyncio.gather(
            *(self.call(platform_helper.ORDER, f"r{n}") for n in range(8))
        )
        self.assertTrue(self.list_runs("shop-2"))

    async def test_evacuation_holds_while_the_store_is_away(self):
        self.store.put(EVACUATION, b"{}")
        await asyncio.sleep(APPLIED_S)
        self.clear_runs()
        self.store.faults.status = 503
        for _ in range(3):
            await self.send(5)
            await asyncio.sleep(0.5)
        self.assertEqual(self.list_runs("llm-2", "shop-2"), [])

    async def test_requests_are_refused_at_once_if_all_is_evacuated(self):
        self.store.put(EVACUATION, b"{}")
        self.store.put("op/evacuate/a", b"{}")
        await asyncio.sleep(APPLIED_S)
        self.clear_runs()
        status, headers, _ = await self.call(platform_helper.ORDER, "r")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertEqual(self.list_runs(), [])

    async def test_unknown_domain_changes_nothing(self):
        for key in ("op/evacuate/nowhere", "op/evacuate/", "op/evacuate/a/b"):
            self.store.put(key, b"")
        await asyncio.sleep(APPLIED_S)
        self.assertEqual(await self.send(3), {200})

    def test_keys_are_classified(self):
        decoder = entries.EntryDecoder()
        self.assertEqual(decoder.decode_name(EVACUATION), "b")
        self.assertEqual(decoder.decode_name("servers/op"), "op")
