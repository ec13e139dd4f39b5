"""Tests how routers learn of leaving replicas beside large configurations."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock
import zlib

from aiohttp import test_utils
import msgspec

from agatedock import hashing
from agatedock.domain import replicas
from agatedock.peers import departures
from agatedock.peers import relay
from agatedock.peers import snapshots
from agatedock.views import directory
from test import helper
from test import simulation
from test import test_peers

# Until gossip has made all routers known to each other.
SETTLE_S = 6.0
# From the store reader to the last router, over two hops of the relay tree.
SPREAD_MAX_S = 0.1
LEAVING = "replica-3"


class _Router:
    """The departures, the directory and the position of one router."""

    def __init__(self, node: simulation.Node) -> None:
        self.node = node
        self.position = snapshots.Position("store", 10)
        self.directory = directory.Directory()
        listed = [helper.make_replica(n) for n in range(6)]
        helper.apply_listing(self.directory, listed, 0.0, 0.0)
        self.departures = departures.DepartureRelay(
            node.peer_endpoint,
            node.gossip,
            self.directory,
            lambda: self.position,
        )

    def uses(self, replica_id: str) -> bool:
        """Returns whether the router sends new requests to a replica."""
        return any(
            replica.replica_id == replica_id
            for replica in self.directory.list_usable("llm")
        )

    def apply_removal(self, complete_to: int) -> None:
        """Applies a listing in which the replica is gone."""
        self.position = snapshots.Position("store", complete_to)
        self.directory.apply_changes([], [LEAVING], 1.0, 1.0)
        self.departures.handle_listing([LEAVING])


async def start_routers(count: int) -> list[_Router]:
    """Returns routers that know each other."""
    fleet = test_peers.make_fleet(count)
    routers = [_Router(node) for node in fleet.nodes]
    await asyncio.sleep(SETTLE_S)
    return routers


def find_reader(routers: list[_Router]) -> _Router:
    """Returns the router at the root of the relay tree."""
    root = hashing.sort_by_score("readers", [r.node.name for r in routers])[0]
    return next(router for router in routers if router.node.name == root)


class DepartureTest(unittest.TestCase):
    """Departures that go ahead of the listing."""

    def check_spread(self, routers: list[_Router]) -> None:
        self.assertEqual([r.node.name for r in routers if r.uses(LEAVING)], [])
        others = {r.uses("replica-2") for r in routers}
        self.assertEqual(others, {True})

    @test_peers.in_virtual_time
    async def test_all_routers_learn_of_a_departure_at_once(self):
        """However long their next listing takes."""
        for count in (21, 88):
            with self.subTest(routers=count):
                routers = await start_routers(count)
                find_reader(routers).apply_removal(complete_to=12)
                await asyncio.sleep(SPREAD_MAX_S)
                self.check_spread(routers)

    @test_peers.in_virtual_time
    async def test_each_router_sends_a_departure_once(self):
        routers = await start_routers(21)
        network_bytes = [r.node.peer_endpoint.bytes_sent for r in routers]
        for router in routers:
            router.node.kill()
        reader = find_reader(routers)
        reader.apply_removal(complete_to=12)
        await asyncio.sleep(SPREAD_MAX_S)
        for router in routers:
            if router is reader:
                continue
            router.position = snapshots.Position("store", 12)
            router.departures.handle_listing([LEAVING])
        await asyncio.sleep(SPREAD_MAX_S)
        for router, before in zip(routers, network_bytes, strict=True):
            sent_bytes = router.node.peer_endpoint.bytes_sent - before
            self.assertLessEqual(sent_bytes, 14 * 60)

    @test_peers.in_virtual_time
    async def test_listing_that_reaches_the_change_decides(self):
        """A replica that registered again is used again."""
        routers = await start_routers(7)
        find_reader(routers).apply_removal(complete_to=12)
        await asyncio.sleep(SPREAD_MAX_S)
        router = next(r for r in routers if r.position.complete_to == 10)
        router.position = snapshots.Position("store", 11)
        router.departures.handle_listing([])
        self.assertFalse(router.uses(LEAVING))
        router.position = snapshots.Position("store", 12)
        router.departures.handle_listing([])
        self.assertTrue(router.uses(LEAVING))

    @test_peers.in_virtual_time
    async def test_replica_is_not_used_after_a_gap_between_listings(self):
        """A late listing keeps removed entries, but not announced ones."""
        routers = await start_routers(7)
        reader = find_reader(routers)
        reader.apply_removal(complete_to=12)
        await asyncio.sleep(SPREAD_MAX_S)
        router = next(r for r in routers if r is not reader)
        router.position = snapshots.Position("store", 13)
        late_s = directory.LISTING_GAP_MAX_S + 0.5
        router.directory.apply_changes([], [LEAVING], late_s, late_s)
        router.departures.handle_listing([])
        self.assertFalse(router.uses(LEAVING))
        # The replica registers again during the grace period.
        router.directory.apply_changes(
            [helper.make_replica(3)], [], late_s + 1, late_s + 1
        )
        router.departures.handle_listing([])
        self.assertTrue(router.uses(LEAVING))

    @test_peers.in_virtual_time
    async def test_departure_that_the_listing_has_passed_is_ignored(self):
        routers = await start_routers(7)
        reader = find_reader(routers)
        for router in routers:
            if router is not reader:
                router.position = snapshots.Position("store", 12)
        reader.apply_removal(complete_to=12)
        await asyncio.sleep(SPREAD_MAX_S)
        using = [r for r in routers if r.uses(LEAVING)]
        self.assertEqual(len(using), 6)

    def test_draining_entry_makes_a_replica_unready(self):
        view = directory.Directory()
        state = replicas.ReplicaState.DRAINING
        helper.apply_listing(view, [helper.make_replica(1)], 0.0, 0.0)
        self.assertTrue(view.is_ready("replica-1"))
        draining = helper.make_replica(1, sequence=9, state=state)
        helper.apply_listing(view, [draining], 1.0, 1.0)
        self.assertFalse(view.is_ready("replica-1"))


class ListingServerTest(unittest.TestCase):
    """A large configuration that many peers request at the same time."""

    def setUp(self):
        self.listing = snapshots.Listing()
        self.read(1, now=100.0)
        self.server = relay.ListingServer(self.listing)

    def read(self, revision: int, now: float) -> None:
        """Reads a store whose configuration has a revision."""
        item = snapshots.Item(
            "op/config", b"route " * 50_000, revision, revision
        )
        self.listing.load_snapshot(
            snapshots.Snapshot("store", revision, revision, [item]), now
        )

    def request(self, now: float, age: str = "&age=header"):
        """Returns the response to a peer without a listing."""
        raw = test_utils.make_mocked_request(
            "GET", f"/listing?source=&number=0&revision=0{age}"
        )
        return self.server.make_response(None, raw, now)

    def test_equal_requests_are_encoded_once(self):
        with mock.patch.object(
            relay.zlib, "compress", wraps=zlib.compress
        ) as compress:
            ages = [
                float(self.request(100.5 + n).headers[relay.AGE_HEADER])
                for n in range(14)
            ]
        self.assertEqual(compress.call_count, 1)
        self.assertEqual(ages, [0.5 + n for n in range(14)])

    def test_new_listing_is_encoded_anew(self):
        self.request(100.5)
        self.read(2, now=101.0)
        body = zlib.decompress(self.request(101.5).body)
        delta = msgspec.msgpack.decode(body, type=snapshots.Delta)
        self.assertEqual(delta.items[0].revision, 2)

    def test_earlier_version_gets_the_age_in_the_body(self):
        for now in (100.5, 101.5):
            response = self.request(now, age="")
            delta = msgspec.msgpack.decode(
                zlib.decompress(response.body), type=snapshots.Delta
            )
            self.assertEqual(delta.age_s, now - 100.0)
            self.assertNotIn(relay.AGE_HEADER, response.headers)
