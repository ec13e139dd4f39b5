"""Replicas that are cold take few requests from all routers together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import time
import unittest

from agatedock import hashing
from agatedock.decisions import cold_times
from agatedock.domain import configuration
from agatedock.views import cold_replicas
from agatedock_platform import entries
from test import helper
from test import platform_helper
from test import simulation
from test import test_peers
from test import test_rate_limit_fleet

NOW = 100.0
RATE = 4.0
COLD_S = 3.0
# Requests in any second, of all routers: ColdPerS x ColdOverage +
# ColdAllowance of the platform.
ALLOWED = 1.5 * RATE + 5


def count_busiest_second(times: list[float]) -> int:
    """Returns the most requests that arrived within one second."""
    times = sorted(times)
    return max(
        (sum(begin <= at < begin + 1 for at in times) for begin in times),
        default=0,
    )


class ColdTimeTest(unittest.TestCase):
    """Cold times of single runs."""

    def test_time_of_another_run_does_not_count(self):
        view = cold_replicas.ColdReplicas()
        replica = helper.make_replica(1)
        view.record(replica, RATE, NOW + 3)
        self.assertIsNotNone(view.find(replica, NOW + 2.9))
        self.assertIsNone(view.find(replica, NOW + 3))
        later = dataclasses.replace(replica, started_at_ms=9)
        self.assertIsNone(view.find(later, NOW))

    def test_earlier_end_is_ignored(self):
        view = cold_replicas.ColdReplicas()
        replica = helper.make_replica(1)
        view.record(replica, RATE, NOW + 3)
        view.record(replica, RATE, NOW + 1)
        self.assertIsNotNone(view.find(replica, NOW + 2))

    def test_memory_is_bounded(self):
        view = cold_replicas.ColdReplicas()
        for number in range(cold_replicas.RUNS_MAX + 50):
            view.record(helper.make_replica(number), RATE, NOW + 3)
        self.assertEqual(view.count(NOW), cold_replicas.RUNS_MAX)
        self.assertEqual(view.count(NOW + 3), 0)

    def test_values_of_the_header(self):
        for text, seconds in (
            ("1500", 1.5),
            ("0", 0.0),
            (" 20.5 ", 0.0205),
            ("9" * 15, cold_times.COLD_MAX_S),
            ("-1", None),
            ("nan", None),
            ("", None),
            ("1e3", None),
        ):
            with self.subTest(text):
                self.assertEqual(cold_times.parse_cold_s(text), seconds)


class EntryTest(unittest.TestCase):
    """Entries and configurations of the platform."""

    def decode_service(self, **fields) -> configuration.Service:
        document = platform_helper.make_configuration(
            Services=[{"Name": "llm", **fields}]
        )
        encoded = platform_helper.encode(document)
        return entries.decode_configuration(encoded).services["llm"]

    def test_service_says_what_a_cold_replica_takes(self):
        service = self.decode_service(ColdStartS=3.0, ColdPerS=7.7)
        self.assertEqual((service.cold_s, service.cold_rate), (3.0, 7.7))

    def test_service_that_is_never_cold(self):
        for fields in (
            {},
            {"ColdStartS": 0.0, "ColdPerS": 0.0},
            {"ColdStartS": -1.0, "ColdPerS": 2.0},
            {"ColdStartS": 3.0, "ColdPerS": -2.0},
        ):
            with self.subTest(fields):
                service = self.decode_service(**fields)
                self.assertIsNone(service.cold_rate)


class FleetTest(unittest.TestCase):
    """Many routers before replicas that have just become cold."""

    async def play(
        self,
        fault: Callable[[simulation.Fleet], None],
        size: int = 24,
        is_told: Callable[[int], bool] = lambda _: True,
    ) -> test_rate_limit_fleet.Traffic:
        """Plays three cold replicas with a fault; returns the traffic.

        Args:
          fault: Begins when the replicas become cold.
          size: Number of routers.
          is_told: Returns whether the router of a number knows of them.
        """
        fleet = test_peers.make_fleet(size)
        await asyncio.sleep(test_peers.SETTLE_S)
        traffic = test_rate_limit_fleet.Traffic(fleet, 120.0)
        await traffic.run(1)
        began_at = asyncio.get_running_loop().time()
        cold = fleet.replica_directory.list_usable("llm")[:3]
        for number, node in enumerate(fleet.nodes):
            for replica in cold if is_told(number) else ():
                node.cold_replicas.record(replica, RATE, began_at + COLD_S)
        fault(fleet)
        await traffic.run(COLD_S)
        for replica in cold:
            times = [
                at
                for replica_id, _, at in traffic.arrivals
                if replica_id == replica.replica_id and at >= began_at
            ]
            self.assertLessEqual(count_busiest_second(times), ALLOWED)
        return traffic

    @test_peers.in_virtual_time
    async def test_rate_is_kept_and_others_serve(self):
        for size in (1, 6, 60):
            traffic = await self.play(lambda _: None, size)
            self.assertLess(traffic.refused, 0.01 * len(traffic.arrivals))

    @test_peers.in_virtual_time
    async def test_rate_is_kept_when_owners_die(self):
        def kill(fleet: simulation.Fleet) -> None:
            for node in fleet.nodes[:8]:
                node.kill()
                for ports in fleet.network.blocked_ports.values():
                    ports.add(node.port)
            del fleet.nodes[:8]

        await self.play(kill)

    @test_peers.in_virtual_time
    async def test_rate_is_kept_when_owners_restart(self):
        def restart(fleet: simulation.Fleet) -> None:
            known = {
                replica.replica_id: node.cold_replicas
                for node in fleet.nodes
                for replica in fleet.replica_directory.list_usable("llm")
            }
            for node in list(fleet.nodes[:8]):
                fleet.restart(node)
            # A router that starts reads the listing.
            now = asyncio.get_running_loop().time()
            for node in fleet.nodes:
                for replica in fleet.replica_directory.list_usable("llm")[:3]:
                    if replica.replica_id in known:
                        node.cold_replicas.record(replica, RATE, now + COLD_S)

        await self.play(restart)

    @test_peers.in_virtual_time
    async def test_rate_is_kept_while_routers_are_cut_off(self):
        def cut(fleet: simulation.Fleet) -> None:
            for node in fleet.nodes[:3]:
                for ports in fleet.network.blocked_ports.values():
                    ports.add(node.port)

        await self.play(cut)

    @test_peers.in_virtual_time
    async def test_rate_is_kept_when_no_owner_replies(self):
        def cut(fleet: simulation.Fleet) -> None:
            for node in fleet.nodes:
                fleet.network.blocked_ports["from"].add(node.port)

        await self.play(cut)

    @test_peers.in_virtual_time
    async def test_owner_hears_of_it_from_the_routers_that_know(self):
        """Half of the routers have not read the listing yet."""
        fleet = test_peers.make_fleet(2)
        await asyncio.sleep(test_peers.SETTLE_S)
        now = asyncio.get_running_loop().time()
        replica = fleet.replica_directory.list_usable("llm")[0]
        replica_hash = hashing.hash_name(replica.replica_id)
        owner = next(
            n for n in fleet.nodes if n.reservations.owns(replica_hash)
        )
        asker = next(node for node in fleet.nodes if node is not owner)
        asker.cold_replicas.record(replica, RATE, now + COLD_S)
        replies = [
            await asker.reservations.reserve(replica.replica_id, 100)
            for _ in range(10)
        ]
        granted = [reply.granted for reply in replies if reply is not None]
        self.assertEqual(len(granted), 10)
        self.assertLessEqual(sum(granted), 2)


class RouterTest(platform_helper.RouterCase):
    """A router on the platform before a service with one replica."""

    def configure(self, **overrides) -> None:
        services = [
            {"Name": "llm", "ColdStartS": 3.0, "ColdPerS": RATE},
            {"Name": "shop"},
        ]
        super().configure(Services=services, **overrides)

    async def test_cold_replica_gets_its_rate_and_others_serve(self):
        cold = self.replicas["llm-1"]
        cold.cold_until = time.monotonic() + 4.0
        cold.begin_run()
        self.register("llm-1")
        await asyncio.sleep(1.0)
        began_at = time.monotonic()
        tasks = []
        for number in range(150):
            path = f"/chat/{number}"
            tasks.append(asyncio.create_task(self.call(path, f"r{number}")))
            await asyncio.sleep(0.02)
        statuses = {(await task)[0] for task in tasks}
        self.assertEqual(statuses, {200})
        times = [
            item.received_at
            for item in cold.received_requests
            if began_at <= item.received_at < cold.cold_until
        ]
        self.assertLessEqual(count_busiest_second(times), ALLOWED)
        self.assertGreater(len(times), 0)

    async def test_later_requests_are_not_limited(self):
        self.replicas["llm-1"].cold_until = time.monotonic() + 0.5
        self.register("llm-1")
        await asyncio.sleep(2.5)
        shared = self.router.core.shared
        self.assertEqual(shared.cold_replicas.count(shared.now()), 0)
