"""Replicas that send bytes without end in place of an answer."""

from __future__ import annotations

import asyncio
import time

from standins import endless
from test import platform_helper

REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"X-Agatedock-Attempt-Id: ID\r\n"
    b"X-Agatedock-Not-Executed: 1\r\n\r\n"
)


class EndlessCase(platform_helper.RouterCase):
    """A router with two sound replicas of each service and a faulty one."""

    bounds = {"slack": 100_000}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.faulty: list[endless.EndlessReplica] = []

    async def add_faulty(
        self, service: str, head: bytes, **attributes
    ) -> endless.EndlessReplica:
        """Starts a faulty replica and waits until the router knows it."""
        faulty = endless.EndlessReplica("faulty-1", service)
        faulty.head = head
        for name, value in attributes.items():
            setattr(faulty, name, value)
        await faulty.start()
        self.replicas[faulty.name] = faulty
        self.register(faulty.name)
        directory = self.router.core.shared.directory
        async with asyncio.timeout(5):
            while directory.count() < len(self.replicas):
                await asyncio.sleep(0.02)
        return faulty

    async def call_until_reached(
        self, faulty: endless.EndlessReplica, path: str
    ) -> tuple[int, float]:
        """Calls until the faulty replica got a request.

        Returns:
          The status of the last answer and the seconds to it.
        """
        for number in range(40):
            began_at = time.monotonic()
            status, _, _ = await self.call(path, f"r{number}")
            if faulty.sent:
                return status, time.monotonic() - began_at
        raise AssertionError("the faulty replica got no request")

    async def wait_closed(self, faulty: endless.EndlessReplica) -> None:
        """Waits until the router closed all connections of a replica."""
        async with asyncio.timeout(3):
            while not all(sent.is_closed for sent in faulty.sent):
                await asyncio.sleep(0.02)


class RefusalTest(EndlessCase):
    """Refusals whose body has no end."""

    async def test_endless_body_of_a_refusal_is_not_read(self):
        faulty = await self.add_faulty("shop", REFUSAL)
        for path in (platform_helper.LOOKUP, platform_helper.ORDER):
            faulty.sent.clear()
            status, _ = await self.call_until_reached(faulty, path)
            self.assertEqual(status, 200)
            await self.wait_closed(faulty)
            # What the kernel and the transports of both sides hold.
            self.assertLess(faulty.sent[0].size_bytes, 12_000_000)

    async def test_slow_body_of_a_refusal_does_not_hold_its_request(self):
        faulty = await self.add_faulty(
            "shop", REFUSAL, filler=b"x", interval_s=0.1
        )
        status, took_s = await self.call_until_reached(
            faulty, platform_helper.LOOKUP
        )
        self.assertEqual(status, 200)
        self.assertLess(took_s, 1.0)
        await self.wait_closed(faulty)

    async def test_early_close_of_a_refusal_is_counted(self):
        faulty = await self.add_faulty("shop", REFUSAL)
        with self.assertLogs("agatedock.serving.early_closes") as logged:
            await self.call_until_reached(faulty, platform_helper.LOOKUP)
        (record,) = logged.records
        self.assertEqual(record.msg["replica"], faulty.name)
        counts = self.router.core.shared.early_closes.counts
        self.assertEqual(sum(counts.values()), 1)
