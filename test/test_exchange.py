"""The request path on the hosting platform, as clients and replicas see it."""

from __future__ import annotations

import asyncio
import time
from unittest import mock

import aiohttp

from test import platform_helper

CHAT = platform_helper.CHAT
DRAFT = platform_helper.DRAFT
LOOKUP = platform_helper.LOOKUP
ORDER = platform_helper.ORDER
COMPLETE_STREAM = b"".join(
    f"id: {index}\ndata: x\n\n".encode() for index in range(1, 6)
)


class HeadersTest(platform_helper.RouterCase):
    """Headers and bodies that replicas and clients receive."""

    async def test_request_arrives_unchanged(self):
        target = ORDER + "?a=%2Fb&c=d//e"
        status, _, _ = await self.call(target, body=b"pay\r\n\r\nGET / x")
        self.assertEqual(status, 200)
        (run,) = self.list_runs()
        self.assertEqual((run.method, run.target), ("POST", target))
        self.assertEqual(run.body, b"pay\r\n\r\nGET / x")
        self.assertEqual(run.headers["Host"], platform_helper.HOST)
        self.assertEqual(run.headers["X-Agatedock-Attempt-Id"], "r1")

    async def test_key_is_replaced_by_the_account(self):
        await self.call(ORDER, **{"X-Agatedock-Tenant": "forged"})
        (run,) = self.list_runs()
        self.assertNotIn("Authorization", run.headers)
        self.assertEqual(run.headers["X-Agatedock-Tenant"], "office")

    async def test_forged_system_headers_are_dropped(self):
        forged = {
            "Kv-From": "1.2.3.4:5/6",
            "Kv-Fetch": "1.2.3.4:5",
            "X-Agatedock-Retain": "7",
            "X-Agatedock-Pin-Ms": "9",
            "X-Agatedock-Kv-Backup": "1.2.3.4:5",
            "X-Agatedock-Expect-Version": "2",
            "X-Agatedock-Not-Executed": "1",
            "X-Agatedock-Unheard-Of": "1",
        }
        await self.call(CHAT, **forged)
        (run,) = self.list_runs()
        self.assertEqual(set(forged) & set(run.headers), set())

    async def test_hop_by_hop_headers_are_dropped(self):
        await self.call(ORDER, Connection="x-private", **{"X-Private": "1"})
        (run,) = self.list_runs()
        self.assertNotIn("X-Private", run.headers)

    async def test_replica_gets_the_remaining_time(self):
        await self.call(ORDER, **{"X-Agatedock-Deadline-Ms": "900"})
        (run,) = self.list_runs()
        self.assertLessEqual(int(run.headers["X-Agatedock-Deadline-Ms"]), 900)

    async def test_account_rank_overrides_the_route_rank(self):
        await self.call(CHAT)
        (run,) = self.list_runs()
        self.assertEqual(run.headers["X-Agatedock-Request-Priority"], "3")

    async def test_response_carries_the_replicas_seal(self):
        _, headers, body = await self.call(ORDER)
        self.assertTrue(headers["X-Agatedock-Response-Seal"])
        self.assertTrue(body.startswith(b"run by shop-"))


class RejectionTest(platform_helper.RouterCase):
    """Requests that never reach a replica."""

    bounds = {"revoke_ms": 1600}

    async def test_unknown_key(self):
        status, _, _ = await self.call(ORDER, Authorization="Bearer no")
        self.assertEqual(status, 401)
        self.assertEqual(self.list_runs(), [])

    async def test_unknown_route(self):
        status, _, _ = await self.call("/nowhere/1")
        self.assertEqual(status, 404)

    async def test_body_over_the_limit(self):
        status, _, _ = await self.call(ORDER, body=b"x" * 10_001)
        self.assertEqual(status, 413)
        self.assertEqual(self.list_runs(), [])

    async def test_revoked_key_is_rejected_soon(self):
        self.configure(Version=8, Tenants=[{"Name": "o", "ApiKeys": ["k2"]}])
        await asyncio.sleep(1.1)
        status, _, _ = await self.call(ORDER)
        self.assertEqual(status, 401)
        self.assertEqual(self.list_runs(), [])

    async def test_key_is_rejected_while_the_store_does_not_reply(self):
        """The key may have been revoked; the error has a Retry-After."""
        self.store.faults.silent = True
        await asyncio.sleep(1.2)
        status, headers, _ = await self.call(ORDER)
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertEqual(self.list_runs(), [])
        self.store.faults.silent = False
        await asyncio.sleep(1.5)
        status, _, _ = await self.call(ORDER)
        self.assertEqual(status, 200)

    async def test_error_after_an_attempt_does_not_say_not_run(self):
        """The key can no longer be checked after the first attempt."""
        for replica in self.replicas.values():
            replica.faults.hang = True
        self.store.faults.silent = True
        await asyncio.sleep(0.3)
        status, headers, _ = await self.call(LOOKUP)
        self.assertEqual(len(self.list_runs()), 1)
        self.assertEqual(status, 502)
        self.assertNotIn("Retry-After", headers)

    async def test_public_route_is_served_without_the_store(self):
        route = platform_helper.make_route(
            "/open/", "unsafe", "shop", Public=True
        )
        self.configure(Version=8, Routes=[route])
        await asyncio.sleep(1.1)
        self.store.faults.status = 503
        await asyncio.sleep(1.2)
        status, _, _ = await self.call("/open/1", Authorization="")
        self.assertEqual(status, 200)

    async def test_unreadable_configuration_changes_nothing(self):
        self.store.put("op/config", b'{"Version": 9, "Routes": 3}')
        await asyncio.sleep(0.5)
        with self.assertLogs("agatedock.peers.updater", "ERROR"):
            await asyncio.sleep(0.6)

    async def test_unreadable_entries_name_no_replica(self):
        for value in (b"\xff\xfe", b"{}", b'{"Service": 4}'):
            self.store.put("servers/garbage", value)
            await asyncio.sleep(0.95)
        status, _, _ = await self.call(ORDER)
        self.assertEqual(status, 200)

    async def test_internal_error_fails_only_one_request(self):
        function = "agatedock.decisions.placement.build_preference_list"
        with mock.patch(function, side_effect=KeyError("bug")):
            status, _, _ = await self.call(ORDER)
        self.assertEqual(status, 502)
        status, _, _ = await self.call(ORDER)
        self.assertEqual(status, 200)


class AtMostOnceTest(platform_helper.RouterCase):
    """Requests that are not idempotent."""

    def set_faults(self, service: str, **faults) -> None:
        """Sets faults at all replicas of a service."""
        for replica in self.replicas.values():
            if replica.service == service:
                for name, value in faults.items():
                    setattr(replica.faults, name, value)

    async def test_lost_response_is_never_retried(self):
        self.set_faults("shop", reset=True)
        status, headers, _ = await self.call(ORDER)
        self.assertEqual(status, 502)
        self.assertNotIn("Retry-After", headers)
        self.assertEqual(len(self.list_runs()), 1)

    async def test_rejected_request_goes_to_another_replica(self):
        self.replicas["shop-1"].faults.shed = True
        for index in range(6):
            status, _, _ = await self.call(ORDER, f"r{index}")
            self.assertEqual(status, 200)
        self.assertEqual(len(self.list_runs("shop-2")), 6)

    async def test_request_rejected_by_all_replicas_is_reported_as_not_run(
        self,
    ):
        self.set_faults("shop", shed=True)
        status, headers, _ = await self.call(ORDER)
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertEqual(self.list_runs(), [])

    async def test_stopped_replica_is_skipped(self):
        await self.replicas["shop-1"].stop()
        for index in range(6):
            status, _, _ = await self.call(ORDER, f"r{index}")
            self.assertEqual(status, 200)

    async def test_address_reused_by_another_replica(self):
        """A replica runs no request for the previous one at its address."""
        self.replicas["shop-1"].name = "other"
        for index in range(4):
            status, _, _ = await self.call(ORDER, f"r{index}")
            self.assertEqual(status, 200)
        self.assertEqual(self.list_runs("shop-1"), [])

    async def test_ambiguous_status_does_not_reach_the_client(self):
        """A 503 that does not say "not executed" may follow a run."""
        self.set_faults("shop", error=503)
        status, _, _ = await self.call(ORDER)
        self.assertEqual(status, 502)

    async def test_error_of_the_replica_is_forwarded(self):
        self.set_faults("shop", error=500)
        status, headers, body = await self.call(ORDER)
        self.assertEqual((status, body), (500, b"failed"))
        self.assertIn("X-Agatedock-Response-Seal", headers)

    async def test_invalid_responses_are_not_forwarded(self):
        for fault in ("other_id", "unsealed", "unframed"):
            with self.subTest(fault):
                self.set_faults("shop", **{fault: True})
                status, _, _ = await self.call(ORDER, fault)
                self.assertEqual(status, 502)
                self.set_faults("shop", **{fault: False})

    async def test_broken_draft_does_not_look_complete(self):
        self.set_faults("llm", cut_after=2)
        with self.assertRaises(aiohttp.ClientError):
            await self.call(DRAFT)
        self.assertEqual(len(self.list_runs()), 1)

    async def test_timeout_is_reported_at_the_deadline(self):
        self.set_faults("shop", hang=True)
        began_at = time.monotonic()
        status, _, _ = await self.call(
            ORDER, **{"X-Agatedock-Deadline-Ms": "700"}
        )
        self.assertEqual(status, 504)
        self.assertGreater(time.monotonic() - began_at, 0.65)


class RetryTest(platform_helper.RouterCase):
    """Requests that may run more than once."""

    async def test_lookup_is_retried_after_a_failure(self):
        for fault in ({"reset": True}, {"error": 500}, {"unframed": True}):
            with self.subTest(fault):
                for name, value in fault.items():
                    setattr(self.replicas["shop-1"].faults, name, value)
                for index in range(4):
                    status, _, _ = await self.call(LOOKUP, f"r{index}")
                    self.assertEqual(status, 200)

    async def test_lookup_at_an_unresponsive_replica(self):
        self.replicas["shop-1"].faults.hang = True
        for index in range(3):
            status, _, _ = await self.call(LOOKUP, f"r{index}")
            self.assertEqual(status, 200)

    async def clear_fault_at_other_replicas(self, fault: str) -> str:
        """Clears a fault at all replicas but the one that runs the request.

        Returns:
          The name of that replica, once it runs the request.
        """
        async with asyncio.timeout(10):
            while not self.list_runs():
                await asyncio.sleep(0.005)
        first = self.list_runs()[0].headers["X-Agatedock-Expect-Replica"]
        for name, replica in self.replicas.items():
            if name != first:
                setattr(replica.faults, fault, None)
        return first

    async def test_stream_is_resumed_at_another_replica(self):
        """The client gets each event once, in order, with the first seal."""
        for replica in self.replicas.values():
            replica.faults.cut_after = 2
            replica.gap_s = 0.05
        task = asyncio.create_task(self.call(CHAT))
        first = await self.clear_fault_at_other_replicas("cut_after")
        status, headers, body = await task
        self.assertEqual((status, body), (200, COMPLETE_STREAM))
        self.assertEqual(headers["X-Agatedock-Response-Seal"], f"seal-{first}")
        (last,) = (
            run
            for run in self.list_runs()
            if run.headers.get("Last-Event-Id") == "2"
        )
        self.assertNotEqual(last.headers["X-Agatedock-Expect-Replica"], first)

    async def test_stream_with_only_a_partial_event_is_resumed_elsewhere(self):
        for replica in self.replicas.values():
            replica.faults.trickle_after = 2
        task = asyncio.create_task(self.call(CHAT))
        await self.clear_fault_at_other_replicas("trickle_after")
        async with asyncio.timeout(2.8):
            status, _, body = await task
        self.assertEqual((status, body), (200, COMPLETE_STREAM))

    async def test_slow_stream_of_complete_events_does_not_time_out(self):
        """Events come every 1.2 s, within the idle timeout of 1.6 s."""
        for replica in self.replicas.values():
            replica.events = 2
            replica.gap_s = 1.2
        status, _, body = await self.call(CHAT)
        self.assertEqual(status, 200)
        self.assertIn(b"id: 2", body)
        self.assertEqual(len(self.list_runs()), 1)

    async def test_lookup_with_a_partial_body_is_retried(self):
        for replica in self.replicas.values():
            replica.faults.trickle_after = 0
        task = asyncio.create_task(self.call(LOOKUP))
        await self.clear_fault_at_other_replicas("trickle_after")
        async with asyncio.timeout(2.8):
            status, _, _ = await task
        self.assertEqual(status, 200)

    async def test_client_disconnect_cancels_the_work(self):
        for replica in self.replicas.values():
            replica.work_s = 5
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(self.call(LOOKUP), 0.3)
        await asyncio.sleep(0.3)
        (run,) = self.list_runs()
        self.assertTrue(run.cancelled)
        self.assertEqual(self.router.core.shared.loads.get_own_counts(), {})

    async def test_retries_stay_within_the_budget(self):
        for replica in self.replicas.values():
            replica.faults.error = 500
        for index in range(60):
            await self.call(LOOKUP, f"r{index}")
        retry_count = len(self.list_runs()) - 60
        # Ratio 0.2 for 60 requests, and a slack of 100 over 8 routers.
        self.assertLessEqual(retry_count, 24)
        self.assertGreater(retry_count, 0)
