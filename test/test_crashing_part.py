"""Prompt parts that crash replicas, with a router and stand-ins."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp

from agatedock import hashing
from agatedock.decisions import quarantine
from agatedock.peers import endpoint
from agatedock.peers import evidence_exchange
from agatedock.views import crash_evidence
from test import helper
from test import platform_helper
from test import simulation
from test import test_departures
from test import test_peers

DEADLY = "dead"
# Time in which a new run is listed.
LISTED_S = 1.5


class RouterTest(platform_helper.RouterCase):
    """A router whose replicas crash on one part."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for item in self.replicas.values():
            item.faults.deadly_part = DEADLY
            item.down_s = 0.3
            item.on_restart = lambda replica: self.register(replica.name)

    async def chat(self, request_id: str, *parts: str) -> tuple[int, dict]:
        """Sends a chat; returns status and headers, 0 if it broke off."""
        prompt = ",".join(f"{part}:100" for part in (*parts, request_id))
        headers = self.make_headers(request_id)
        headers["X-Agatedock-Prompt-Prefix"] = prompt
        url = self.url + platform_helper.CHAT
        try:
            async with self.session.post(url, headers=headers) as response:
                await response.read()
                return response.status, dict(response.headers)
        except aiohttp.ClientError:
            return 0, {}

    async def crash_replicas(self, deadly: str = DEADLY) -> None:
        """Sends requests with the deadly part until one is refused."""
        for index in range(10):
            status, _ = await self.chat(f"d{index}", "root", "topic", deadly)
            if status == 503:
                return
            await asyncio.sleep(LISTED_S)
        self.fail("no request was refused")

    def count_crashes(self) -> int:
        return sum(len(item.crashes) for item in self.replicas.values())

    def count_arrivals(self, part: str) -> int:
        return sum(
            part in item.headers.get("X-Agatedock-Prompt-Prefix", "")
            for name in ("llm-1", "llm-2")
            for item in self.replicas[name].received_requests
        )

    async def test_request_that_would_crash_a_replica_is_refused(self):
        await self.crash_replicas()
        self.assertLessEqual(self.count_arrivals(DEADLY), 4)
        before = self.count_arrivals(DEADLY)
        with self.assertLogs("agatedock.serving.reporter", "WARNING") as logged:
            status, headers = await self.chat("last", "root", "topic", DEADLY)
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 10)
        self.assertEqual(self.count_arrivals(DEADLY), before)
        text = "\n".join(logged.output)
        self.assertIn("quarantined", text)
        self.assertIn(DEADLY, text)

    async def test_sound_requests_with_the_other_parts_are_served(self):
        await self.crash_replicas()
        for index in range(6):
            status, _ = await self.chat(f"s{index}", "root", "topic")
            self.assertEqual(status, 200)

    async def test_part_that_crashes_within_an_answer_is_refused(self):
        for number, events in enumerate((1, 4)):
            with self.subTest(events=events):
                deadly = f"{DEADLY}{number}"
                for item in self.replicas.values():
                    item.faults.deadly_part = deadly
                    item.faults.deadly_after = events
                crashes = self.count_crashes()
                await self.crash_replicas(deadly)
                self.assertLessEqual(self.count_crashes() - crashes, 4)
                before = self.count_arrivals(deadly)
                status, _ = await self.chat("last", "root", "topic", deadly)
                self.assertEqual(status, 503)
                self.assertEqual(self.count_arrivals(deadly), before)
                for index in range(6):
                    status, _ = await self.chat(f"s{index}", "root", "topic")
                    self.assertEqual(status, 200)

    async def test_stream_that_ends_after_it_was_resumed_clears_no_part(self):
        """The second replica writes only the events after the crash."""
        for item in self.replicas.values():
            item.faults.deadly_after = 4
        await self.crash_replicas()
        self.assertLessEqual(self.count_arrivals(DEADLY), 8)

    async def test_error_does_not_show_that_a_part_is_sound(self):
        for item in self.replicas.values():
            item.faults.error = 500
        await self.chat("error", "root", "topic", DEADLY)
        for item in self.replicas.values():
            item.faults.error = 0
        await self.crash_replicas()
        self.assertLessEqual(self.count_crashes(), 4)

    async def test_refusals_are_counted_by_part(self):
        await self.crash_replicas()
        reporter = self.router._metrics  # noqa: SLF001
        body = reporter.render([]).body
        self.assertIn(b'agatedock_quarantined_requests{part="dead"}', body)

    async def test_part_is_tried_at_replicas_with_another_version(self):
        await self.crash_replicas()
        for name in ("llm-1", "llm-2"):
            self.replicas[name].version = "v2"
            self.replicas[name].faults.deadly_part = ""
        self.replicas["llm-1"].begin_run()
        self.register("llm-1")
        await asyncio.sleep(LISTED_S)
        for index in range(3):
            status, _ = await self.chat(f"n{index}", "root", "topic", DEADLY)
            self.assertEqual(status, 200)

    async def test_single_crash_refuses_nothing(self):
        for item in self.replicas.values():
            item.faults.deadly_part = ""
        tasks = [
            asyncio.create_task(self.chat(f"c{index}", "root", "topic"))
            for index in range(4)
        ]
        await asyncio.sleep(0.02)
        self.replicas["llm-1"].crash()
        self.replicas["llm-2"].crash()
        await asyncio.gather(*tasks)
        await asyncio.sleep(LISTED_S)
        status, _ = await self.chat("after", "root", "topic")
        self.assertEqual(status, 200)


class _Router:
    """The evidence of one router of a simulated fleet."""

    def __init__(self, node: simulation.Node) -> None:
        self.node = node
        self.evidence = crash_evidence.CrashEvidence()
        self.exchange = evidence_exchange.EvidenceExchange(
            node.peer_endpoint,
            node.gossip,
            self.evidence,
            asyncio.get_running_loop().time,
        )
        self.task = asyncio.create_task(self.exchange.run())


async def start_routers(count: int) -> list[_Router]:
    """Returns routers that know each other."""
    fleet = test_peers.make_fleet(count)
    routers = [_Router(node) for node in fleet.nodes]
    await asyncio.sleep(test_departures.SETTLE_S)
    return routers


def is_quarantined(router: _Router, part_hash: int) -> bool:
    """Returns whether a router refuses requests with a part."""
    version = hashing.hash_name("")
    cause = quarantine.find_cause([part_hash], version, router.evidence)
    return cause is not None


def record_crashes(routers: list[_Router], part_hashes: list[int]) -> None:
    """Lets three routers see one crash each."""
    now = asyncio.get_running_loop().time()
    for number, router in enumerate(routers[:3]):
        replica = helper.make_replica(number)
        router.evidence.record_crash(part_hashes, replica, now)


class ExchangeTest(unittest.TestCase):
    """How evidence reaches the routers of a fleet."""

    @test_peers.in_virtual_time
    async def test_all_routers_refuse_what_three_of_them_saw(self):
        for count, limit_s in ((6, 1.0), (60, 2.0), (195, 3.0)):
            with self.subTest(routers=count):
                routers = await start_routers(count)
                record_crashes(routers, [1])
                await asyncio.sleep(limit_s)
                missing = [r for r in routers if not is_quarantined(r, 1)]
                self.assertEqual(missing, [])

    @test_peers.in_virtual_time
    async def test_begun_answer_clears_a_part_at_all_routers(self):
        routers = await start_routers(30)
        record_crashes(routers, [1])
        await asyncio.sleep(2.0)
        now = asyncio.get_running_loop().time()
        routers[17].evidence.record_begin([1], "", now)
        await asyncio.sleep(2.0)
        refusing = [r for r in routers if is_quarantined(r, 1)]
        self.assertEqual(refusing, [])

    @test_peers.in_virtual_time
    async def test_router_that_starts_later_learns_of_the_part(self):
        routers = await start_routers(8)
        record_crashes(routers, [1])
        await asyncio.sleep(20.0)
        restarted = routers[5]
        restarted.task.cancel()
        restarted.node.peer_endpoint.handlers.clear()
        late = _Router(restarted.node)
        await asyncio.sleep(2.0)
        self.assertTrue(is_quarantined(late, 1))

    @test_peers.in_virtual_time
    async def test_bytes_stay_within_the_budget(self):
        """Crashes with many suspects, and none of them is cleared."""
        routers = await start_routers(60)
        before = [r.node.peer_endpoint.bytes_sent for r in routers]
        began_at = asyncio.get_running_loop().time()
        for step in range(10):
            now = asyncio.get_running_loop().time()
            replica = helper.make_replica(step)
            for number, router in enumerate(routers):
                parts = [1, 100 * step + number % 20, 10_000 + number]
                router.evidence.record_crash(parts, replica, now)
            await asyncio.sleep(1.0)
        elapsed_s = asyncio.get_running_loop().time() - began_at
        for router, bytes_before in zip(routers, before, strict=True):
            sent_bytes = router.node.peer_endpoint.bytes_sent - bytes_before
            self.assertLessEqual(
                sent_bytes,
                endpoint.RATE_BYTES_PER_S * elapsed_s
                + endpoint.BURST_MAX_BYTES
                + endpoint.DEBT_MAX_BYTES,
            )

    @test_peers.in_virtual_time
    async def test_nothing_is_sent_without_evidence(self):
        routers = await start_routers(6)
        sent = []
        for router in routers:
            router.node.peer_endpoint.send = lambda message, address: (
                sent.append(message)
            )
        await asyncio.sleep(5.0)
        kinds = {type(message).__name__ for message in sent}
        self.assertNotIn("CrashEvidence", kinds)
