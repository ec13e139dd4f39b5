"""Rejections that a faulty replica writes for requests that it runs."""

from __future__ import annotations

import asyncio
import unittest

from agatedock.native import client_requests
from agatedock.native import native_dialect
from agatedock.serving import dialect
from test import helper
from test import platform_helper

NOT_RUN_STATUSES = (408, 421, 429, 503)


class RouterTest(platform_helper.RouterCase):
    """What clients are told, and where requests run."""

    def set_faults(self, *names: str, **faults) -> None:
        """Sets faults at the named replicas."""
        for name in names:
            for fault, value in faults.items():
                setattr(self.replicas[name].faults, fault, value)

    async def test_refusal_of_another_request_is_not_taken_as_not_run(self):
        for status in (421, 429, 503):
            with self.subTest(status):
                self.set_faults("shop-1", "shop-2", foreign_refusal=status)
                order = f"order-{status}"
                answer, _, _ = await self.call(platform_helper.ORDER, order)
                self.assertNotIn(answer, NOT_RUN_STATUSES)
                runs = [
                    run for run in self.list_runs() if run.attempt_id == order
                ]
                self.assertEqual(len(runs), 1)

    async def test_refusal_that_is_repeated_for_the_next_request(self):
        self.set_faults("shop-1", shed=True)
        for index in range(12):
            await self.call(platform_helper.LOOKUP, f"first-{index}")
        self.assertTrue(self.replicas["shop-1"].received_requests)
        self.set_faults("shop-1", shed=False, repeat_refusal=True)
        for index in range(12):
            request_id = f"later-{index}"
            status, _, _ = await self.call(platform_helper.LOOKUP, request_id)
            self.assertEqual(status, 200)

    async def test_own_refusal_that_is_repeated_at_a_second_attempt(self):
        """The second attempt at a replica goes over another connection."""
        self.configure(
            Version=9,
            Routes=[
                platform_helper.make_route(
                    "/lookup/", "safe", "shop", MaxAttempts=4
                )
            ],
        )
        await asyncio.sleep(1.2)
        self.set_faults("shop-1", "shop-2", shed=True)
        await self.call(platform_helper.LOOKUP, "first")
        by_connection = [
            len(set(replica._rejected_ids))  # noqa: SLF001
            for replica in self.replicas.values()
        ]
        arrivals = [
            len(replica.received_requests) for replica in self.replicas.values()
        ]
        self.assertEqual(by_connection, arrivals)

    async def test_connection_is_closed_after_a_response_to_another_request(
        self,
    ):
        self.set_faults("shop-1", "shop-2", foreign_refusal=503)
        await self.call(platform_helper.LOOKUP, "first")
        self.set_faults("shop-1", "shop-2", foreign_refusal=0)
        client = self.router.core.shared.replica_client
        self.assertEqual(client.count_idle_connections(), 0)


class NativeTest(unittest.TestCase):
    """The own interface."""

    def test_rejection_with_another_id_is_no_rejection(self):
        request = helper.make_prompted("r1", (), 0.0)
        headers = {
            native_dialect.DRAINING_HEADER: "1",
            client_requests.REQUEST_ID_HEADER: "other",
        }
        kind = native_dialect.NativeDialect().classify_response(
            request, 503, headers
        )
        self.assertIs(kind, dialect.ResponseKind.INVALID)
