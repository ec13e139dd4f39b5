"""The guarantees to clients under faults, with a fleet of processes."""

from __future__ import annotations

import asyncio
import signal
import unittest

from standins import fleet
from test import helper

LONG_CHAT_TOKENS = 100
# The defaults of the fleet configuration.
LOAD_BOUND = 1.5
LOAD_SLACK = 3.0
# An engine stops within this time after the client has disconnected.
CANCEL_TIMEOUT_S = 3.0
# All routers apply a change of the configuration within this time.
APPLY_TIMEOUT_S = 6.0


class ChatTest(unittest.IsolatedAsyncioTestCase):
    """Chats get complete responses while engines and routers fail."""

    async def test_cut_stream_is_resumed_at_its_offset(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            client = helper.Caller(running)
            engine = running.upstreams["llm-0"]
            await running.set_faults(engine, cut_after=20)
            router = running.routers["router-0"]
            response = await client.chat(router, "c", LONG_CHAT_TOKENS)
            self.assertTrue(response.whole)
            self.assertEqual(
                response.tokens(),
                helper.expect_tokens("hello", LONG_CHAT_TOKENS),
            )
            # The engine still held the request, so it ran only once.
            runs = (await running.fetch_record(engine))["runs"]
            self.assertEqual(len(runs), 1)

    async def test_killed_engine_is_replaced_without_gap_or_repeat(self):
        async with fleet.Fleet(helper.make_plan()) as running:
            client = helper.Caller(running)
            router = running.routers["router-0"]
            first = await client.chat(router, "c")
            engine = first.headers["X-Served-By"]
            task = asyncio.create_task(
                client.chat(router, "c", LONG_CHAT_TOKENS)
            )
            await asyncio.sleep(0.7)
            await running.upstreams[engine].kill()
            response = await task
            self.assertTrue(response.whole, response.raw[-300:])
            self.assertEqual(
                response.tokens(),
                helper.expect_tokens("hello", LONG_CHAT_TOKENS),
            )
            # The new engine continued the delivered text, not from the start.
            offsets = [
                run["offset"]
                for name, process in running.upstreams.items()
                if name.startswith("llm") and process.is_running
                for run in (await running.fetch_record(process))["runs"]
            ]
            self.assertTrue(any(offset > 5 for offset in offsets), offsets)

    async def test_response_of_another_request_never_reaches_the_client(self):
        await self._check_misdelivery(cross=1)

    async def test_event_of_another_request_never_reaches_the_client(self):
        await self._check_misdelivery(cross_event=1)

    async def _check_misdelivery(self, **faults: int) -> None:
        """Checks that one response meant for another request is dropped.

        The client still gets its own complete response.
        """
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            client = helper.Caller(running)
            await running.set_faults(running.upstreams["llm-0"], **faults)
            response = await client.chat(running.routers["router-1"], "c")
            self.assertTrue(response.whole)
            self.assertNotIn(b"of-another-request", response.raw)
            self.assertEqual(
                response.tokens(), helper.expect_tokens("hello", 16)
            )

    async def test_client_disconnect_stops_the_engine(self):
        """Without a cancel the engine would hold the request for 8 s."""
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            await self._disconnect_once(running, "running")

    async def test_client_disconnect_before_the_engine_starts_the_request(self):
        """The first cancel overtakes the request and has no effect."""
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            engine = running.upstreams["llm-0"]
            await running.set_faults(engine, late_ms=300)
            await self._disconnect_once(running, "arrived")
            self.assertEqual(
                len((await running.fetch_record(engine))["runs"]), 1
            )

    async def _disconnect_once(self, running: fleet.Fleet, count: str) -> None:
        """Disconnects once the engine counts a request, which must then stop.

        Args:
          running: The fleet.
          count: Key of the count in the engine's record.
        """
        engine = running.upstreams["llm-0"]
        client = helper.Caller(running)
        router = running.routers["router-0"]
        task = asyncio.create_task(client.chat(router, "c", 400))
        async with asyncio.timeout(10):
            while not (await running.fetch_record(engine))[count]:
                await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        async with asyncio.timeout(CANCEL_TIMEOUT_S):
            while True:
                record = await running.fetch_record(engine)
                if record["runs"] and not record["running"]:
                    return
                await asyncio.sleep(0.05)

    async def test_killed_routers_break_no_chat_of_other_routers(self):
        async with fleet.Fleet(helper.make_plan()) as running:
            client = helper.Caller(running)
            router = running.routers["router-0"]
            tasks = [
                asyncio.create_task(
                    client.chat(router, f"c{i}", LONG_CHAT_TOKENS)
                )
                for i in range(6)
            ]
            await asyncio.sleep(0.7)
            await running.routers["router-1"].kill()
            await running.routers["router-2"].kill()
            for response in await asyncio.gather(*tasks):
                self.assertTrue(response.whole, response.raw[-300:])
                self.assertEqual(
                    response.tokens(),
                    helper.expect_tokens("hello", LONG_CHAT_TOKENS),
                )

    async def test_responses_are_complete_while_a_router_is_paused(self):
        settings = {"limits": {"upstream_silence_ms": 1000}}
        plan = helper.make_plan(settings=settings)
        async with fleet.Fleet(plan) as running:
            client = helper.Caller(running)
            router, paused = (running.routers[f"router-{i}"] for i in (0, 1))
            tasks = [
                asyncio.create_task(
                    client.chat(router, f"c{i}", LONG_CHAT_TOKENS)
                )
                for i in range(9)
            ]
            await asyncio.sleep(0.7)
            paused.signal(signal.SIGSTOP)
            responses = await asyncio.gather(*tasks)
            paused.signal(signal.SIGCONT)
            for response in responses:
                self.assertTrue(response.whole, response.raw[-300:])
                self.assertEqual(
                    response.tokens(),
                    helper.expect_tokens("hello", LONG_CHAT_TOKENS),
                )


class BoundTest(unittest.IsolatedAsyncioTestCase):
    """No engine exceeds its load bound, by the engines' own records."""

    async def test_bound_holds_while_a_router_is_paused_and_wakes(self):
        """24 clients share one hot chat, so all prefer the same engine."""
        async with fleet.Fleet(helper.make_plan(engines=4)) as running:
            client = helper.Caller(running)
            routers = list(running.routers.values())
            stop = asyncio.Event()

            async def call(router: fleet.Process, index: int) -> None:
                await asyncio.sleep(index * 0.05)
                while not stop.is_set():
                    await client.chat(router, "hot", 40, work="tag")

            tasks = [
                asyncio.create_task(call(routers[i % 2], i)) for i in range(24)
            ]
            await asyncio.sleep(2)
            for _ in range(2):
                routers[2].signal(signal.SIGSTOP)
                await asyncio.sleep(4)
                routers[2].signal(signal.SIGCONT)
                await asyncio.sleep(2)
            stop.set()
            await asyncio.gather(*tasks)
            await self._check_bound(running)

    async def _check_bound(self, running: fleet.Fleet) -> None:
        """Replays the loads of all engines by time; checks each increase."""
        changes = []
        for name, process in running.upstreams.items():
            if name.startswith("llm"):
                record = await running.fetch_record(process)
                changes += [(at, name, load) for at, load in record["loads"]]
        loads: dict[str, int] = {}
        violations = 0
        for _, name, load in sorted(changes):
            increased = load > loads.get(name, 0)
            loads[name] = load
            mean = sum(loads.values()) / 4
            violations += increased and load > LOAD_BOUND * mean + LOAD_SLACK
        self.assertGreater(len(changes), 200)
        self.assertEqual(violations, 0)


class NonIdempotentRequestTest(unittest.IsolatedAsyncioTestCase):
    """Non-idempotent requests run at most once under faults."""

    async def test_lost_response_is_unknown_and_never_retried(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            client = helper.Caller(running)
            for name in ("shop-0", "shop-1"):
                await running.set_faults(
                    running.upstreams[name], drop_answers=9
                )
            for key in ("", "k1"):
                body = f"order {key}"
                for router in running.routers.values():
                    response = await client.order(router, body, key)
                    if not key:
                        break
                    self.assertFalse(response.error["not_run"])
                self.assertFalse(response.error["not_run"])
                self.assertEqual(await client.count_runs(body), 1)

    async def test_lost_response_to_a_put_is_not_retried(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            client = helper.Caller(running)
            for name in ("shop-0", "shop-1"):
                await running.set_faults(
                    running.upstreams[name], drop_answers=2
                )
            router = running.routers["router-0"]
            response = await client.send(
                "PUT", f"{router.url}/svc/shop/orders/1", data="put"
            )
            self.assertEqual(response.error["code"], "outcome_unknown")
            self.assertEqual(await client.count_runs("put"), 1)

    async def test_incomplete_or_misdelivered_response_is_unknown(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            client = helper.Caller(running)
            router = running.routers["router-0"]
            for fault in ("cut_answers", "cross_answers"):
                for name in ("shop-0", "shop-1"):
                    await running.set_faults(
                        running.upstreams[name], **{fault: 1}
                    )
                response = await client.order(router, fault)
                self.assertEqual(response.error["code"], "outcome_unknown")
                self.assertEqual(await client.count_runs(fault), 1)
                for name in ("shop-0", "shop-1"):
                    await running.set_faults(
                        running.upstreams[name], **{fault: 0}
                    )

    async def test_store_outage_rejects_requests_with_idempotency_key(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            client = helper.Caller(running)
            router, other = (running.routers[f"router-{i}"] for i in (0, 1))
            await running.set_faults(running.kv, down=True)
            keyed_response = await client.order(router, "keyed", "k1")
            self.assertEqual(keyed_response.error["code"], "claims_unavailable")
            self.assertTrue(keyed_response.error["not_run"])
            self.assertGreater(keyed_response.error["retry_after_ms"], 0)
            self.assertEqual(await client.count_runs("keyed"), 0)
            unkeyed_response = await client.order(router, "unkeyed")
            self.assertEqual(unkeyed_response.status, 200)
            await running.set_faults(running.kv, down=False)
            repeated_response = await client.order(other, "keyed", "k1")
            self.assertEqual(repeated_response.status, 200)
            self.assertEqual(await client.count_runs("keyed"), 1)
            self.assertEqual(await client.count_runs("unkeyed"), 1)

    async def test_claim_with_a_lost_response_is_recognised(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            client = helper.Caller(running)
            router, other = (running.routers[f"router-{i}"] for i in (0, 1))
            await running.set_faults(running.kv, lose_answers=1)
            response = await client.order(router, "order", "k1")
            self.assertEqual(response.status, 200)
            repeated_response = await client.order(other, "order", "k1")
            self.assertEqual(repeated_response.status, 200)
            self.assertEqual(
                repeated_response.headers["X-Idempotent-Replay"], "true"
            )
            self.assertEqual(repeated_response.raw, response.raw)
            self.assertEqual(await client.count_runs("order"), 1)

    async def test_repeated_request_after_a_killed_router_is_not_sent(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            client = helper.Caller(running)
            router, other = (running.routers[f"router-{i}"] for i in (0, 1))
            for name in ("shop-0", "shop-1"):
                await running.set_faults(running.upstreams[name], slow_ms=800)
            task = asyncio.create_task(client.order(router, "order", "k1"))
            await asyncio.sleep(0.4)
            await router.kill()
            await asyncio.gather(task, return_exceptions=True)
            repeated_response = await client.order(other, "order", "k1")
            self.assertEqual(repeated_response.error["code"], "in_progress")
            self.assertFalse(repeated_response.error["not_run"])
            await asyncio.sleep(0.8)
            self.assertEqual(await client.count_runs("order"), 1)

    async def test_request_of_a_disconnected_client_ends_before_shutdown(self):
        """The router gets SIGTERM; a repeated request gets the saved result."""
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            client = helper.Caller(running)
            router, other = (running.routers[f"router-{i}"] for i in (0, 1))
            for name in ("shop-0", "shop-1"):
                await running.set_faults(running.upstreams[name], slow_ms=3000)
            task = asyncio.create_task(client.order(router, "order", "k1"))
            await asyncio.sleep(0.4)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            router.signal(signal.SIGTERM)
            self.assertEqual(await router.wait(), 0)
            repeated_response = await client.order(other, "order", "k1")
            self.assertEqual(repeated_response.status, 200)
            self.assertEqual(
                repeated_response.headers["X-Idempotent-Replay"], "true"
            )
            self.assertEqual(await client.count_runs("order"), 1)

    async def test_concurrent_repeated_requests_run_once(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            client = helper.Caller(running)
            routers = list(running.routers.values())
            tasks = [
                client.order(routers[i % 3], "order", "k1") for i in range(12)
            ]
            responses = await asyncio.gather(*tasks)
            statuses = {response.status for response in responses}
            self.assertIn(200, statuses)
            self.assertLessEqual(statuses, {200, 409})
            self.assertEqual(await client.count_runs("order"), 1)

    async def test_request_without_live_replicas_is_rejected_at_once(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            client = helper.Caller(running)
            router = running.routers["router-0"]
            await running.upstreams["shop-0"].kill()
            await running.upstreams["shop-1"].kill()
            async with asyncio.timeout(10):
                for key in ("", "k1"):
                    response = await client.order(router, "order", key)
                    self.assertEqual(response.error["code"], "no_upstream")
                    self.assertTrue(response.error["not_run"])
                url = f"{router.url}/svc/shop/stock"
                response = await client.send("GET", url)
                self.assertEqual(response.error["code"], "no_upstream")
                self.assertTrue((await client.chat(router, "c")).whole)

    async def test_lookup_that_may_have_run_is_not_reported_as_not_run(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            client = helper.Caller(running)
            router = running.routers["router-0"]
            await running.upstreams["shop-0"].kill()
            replica = running.upstreams["shop-1"]
            await running.set_faults(replica, drop_answers=99)
            for index in range(4):
                url = f"{router.url}/svc/shop/stock/{index}"
                response = await client.send("GET", url)
                runs = await running.fetch_record(replica)
                ran = any(r["path"] == f"/stock/{index}" for r in runs)
                self.assertFalse(ran and response.error["not_run"])

    async def test_killed_replica_is_skipped(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            client = helper.Caller(running)
            await running.upstreams["shop-0"].kill()
            router = running.routers["router-0"]
            for index in range(6):
                response = await client.order(router, f"order {index}")
                self.assertEqual(response.status, 200)
                runs = await client.count_runs(f"order {index}")
                self.assertEqual(runs, 1)


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """Draining upstreams and routers."""

    async def _send_traffic(self, running: fleet.Fleet, seconds: float) -> list:
        """Sends chats and orders through all routers; returns the responses."""
        client = helper.Caller(running)
        routers = [r for r in running.routers.values() if r.is_running]
        responses = []
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        index = 0
        while loop.time() < until:
            router = routers[index % len(routers)]
            responses.append(await client.chat(router, f"c{index % 20}", 4))
            responses.append(await client.order(router, f"o{index}"))
            index += 1
        return responses

    async def test_draining_upstreams_get_no_requests_after_two_seconds(self):
        async with fleet.Fleet(helper.make_plan()) as running:
            await self._send_traffic(running, 1)
            engine, replica = (
                running.upstreams[n] for n in ("llm-0", "shop-0")
            )
            # The engine itself reports that it drains; the VM list lags behind.
            await running.set_faults(running.vms, lag_ms=60_000)
            await running.set_faults(engine, draining=True)
            await running.set_faults(running.vms, lag_ms=0)
            await running.mark_leaving("shop-0")
            await self._send_traffic(running, 2)
            runs_before = len((await running.fetch_record(engine))["runs"])
            runs_before += len(await running.fetch_record(replica))
            responses = await self._send_traffic(running, 2)
            runs_after = len((await running.fetch_record(engine))["runs"])
            runs_after += len(await running.fetch_record(replica))
            self.assertEqual(runs_after, runs_before)
            for response in responses:
                self.assertEqual(response.status, 200)

    async def test_shutdown_interrupts_no_request(self):
        document = {"defaults": {"engine_slots": 2}}
        plan = helper.make_plan(routers=4, document=document)
        async with fleet.Fleet(plan) as running:
            client = helper.Caller(running)
            routers = list(running.routers.values())
            tasks = [
                asyncio.create_task(
                    client.chat(
                        routers[i % 4], f"c{i}", LONG_CHAT_TOKENS, work="tag"
                    )
                )
                for i in range(12)
            ]
            await asyncio.sleep(0.6)
            draining = routers[:2]
            for router in draining:
                router.signal(signal.SIGTERM)
            responses = await asyncio.gather(*tasks)
            for response in responses:
                self.assertTrue(response.whole, response.raw[-300:])
                self.assertEqual(
                    response.tokens(),
                    helper.expect_tokens("hello", LONG_CHAT_TOKENS),
                )
            for router in draining:
                self.assertEqual(await router.wait(), 0)


class ConfigTest(unittest.IsolatedAsyncioTestCase):
    """Accepted configurations stay applied on all routers."""

    async def _fetch_revisions(self, running: fleet.Fleet) -> set[int]:
        return {
            (await running.dump(r))["configuration"]["revision"]
            for r in running.routers.values()
            if r.is_running
        }

    async def _wait_for_revision(
        self, running: fleet.Fleet, revision: int
    ) -> None:
        async with asyncio.timeout(APPLY_TIMEOUT_S):
            while await self._fetch_revisions(running) != {revision}:
                await asyncio.sleep(0.05)

    async def _set_load_bound(
        self, running: fleet.Fleet, value: str
    ) -> tuple[int, str]:
        return await running.run_operator(
            "config", "set", "load_bound", value, "--reason", "test"
        )

    async def test_change_reaches_new_routers_while_the_store_is_down(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            code, output = await self._set_load_bound(running, "1.7")
            self.assertEqual(code, 0, output)
            await running.set_faults(running.kv, down=True)
            await running.start_router("router-9", "a")
            await self._wait_for_revision(running, 2)
            code, output = await self._set_load_bound(running, "1.8")
            self.assertEqual(code, 4, output)

    async def test_restored_store_raises_an_alarm_and_is_not_applied(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            await running.http.post(f"{running.kv.url}/save")
            code, output = await self._set_load_bound(running, "1.7")
            self.assertEqual(code, 0, output)
            await running.http.post(f"{running.kv.url}/restore")
            await asyncio.sleep(3)
            self.assertEqual(await self._fetch_revisions(running), {2})
            dump = await running.dump(running.routers["router-0"])
            self.assertTrue(dump["alarms"])
            code, output = await self._set_load_bound(running, "1.8")
            self.assertEqual(code, 3, output)
            self.assertIn("older state", output)
            code, output = await running.run_operator(
                "config", "restore", "--reason", "backup was old"
            )
            self.assertEqual(code, 0, output)
            self.assertEqual(await self._fetch_revisions(running), {3})

    async def test_pushed_configuration_restores_no_old_list_of_engines(self):
        """A pushed configuration must not bring back an older VM list.

        Routers that get listings from peers still hold an older one that they
        read themselves. Each gets a push after an engine was marked as leaving.
        """
        async with fleet.Fleet(helper.make_plan(engines=2)) as running:
            routers = running.routers.values()
            await running.mark_leaving("llm-0")
            async with asyncio.timeout(APPLY_TIMEOUT_S):
                while {
                    await self._fetch_engine_state(running, router, "llm-0")
                    for router in routers
                } != {"draining"}:
                    await asyncio.sleep(0.05)
            # Longer than a snapshot takes to reach all routers.
            await asyncio.sleep(2.0)
            for router in routers:
                url = f"{router.peer_url}/config"
                async with running.http.get(url) as response:
                    document = await response.json()
                document["revision"] += 1
                await running.http.post(url, json=document)
                state = await self._fetch_engine_state(running, router, "llm-0")
                self.assertEqual(state, "draining")

    async def _fetch_engine_state(
        self, running: fleet.Fleet, router: fleet.Process, name: str
    ) -> str:
        upstreams = (await running.dump(router))["upstreams"]
        return {item["name"]: item["state"] for item in upstreams}[name]

    async def test_edit_with_a_lost_response_is_accepted_once(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            # The first write saves the history, the second is the edit.
            await running.set_faults(running.kv, lose_answers=1)
            code, output = await self._set_load_bound(running, "1.6")
            self.assertIn(code, (0, 4), output)
            await running.set_faults(running.kv, lose_answers=0)
            code, output = await self._set_load_bound(running, "1.7")
            self.assertEqual(code, 0, output)

    async def test_racing_operators_get_a_readable_conflict(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            outcomes = await asyncio.gather(
                *(self._set_load_bound(running, f"1.{i}") for i in range(1, 6))
            )
            accepted = [output for code, output in outcomes if code == 0]
            for code, output in outcomes:
                self.assertIn(code, (0, 3), output)
                if code == 3:
                    self.assertIn("another operator was first", output)
            self.assertEqual(
                await self._fetch_revisions(running), {1 + len(accepted)}
            )
            code, output = await running.run_operator(
                "config", "history", "--json"
            )
            self.assertEqual(output.count('"revision"'), 1 + len(accepted))


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Replacement and recovery of all routers."""

    async def test_all_routers_replaced_one_after_another(self):
        async with fleet.Fleet(helper.make_plan()) as running:
            client = helper.Caller(running)
            for index in range(3):
                new = await running.start_router(f"new-{index}", "abc"[index])
                old = running.routers[f"router-{index}"]
                task = asyncio.create_task(
                    client.chat(old, f"c{index}", LONG_CHAT_TOKENS)
                )
                await asyncio.sleep(0.4)
                old.signal(signal.SIGTERM)
                self.assertTrue((await task).whole)
                self.assertEqual(await old.wait(), 0)
                response = await client.chat(new, f"c{index}")
                self.assertTrue(response.whole, response.raw)

    async def test_all_routers_killed_at_once(self):
        async with fleet.Fleet(helper.make_plan()) as running:
            client = helper.Caller(running)
            for router in list(running.routers.values()):
                await router.kill()
            running.routers.clear()
            for index in range(3):
                await running.start_router(f"again-{index}", "abc"[index])
            await running.wait_until_ready()
            for router in running.routers.values():
                self.assertTrue((await client.chat(router, "c")).whole)


if __name__ == "__main__":
    unittest.main()
