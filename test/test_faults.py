"""Promises of the brief under faults, with separate processes."""

from __future__ import annotations

import asyncio
import signal
import unittest

from standins import fleet
from test import helper

LONG = 100
# The defaults of the fleet configuration.
LOAD_BOUND = 1.5
LOAD_SLACK = 3.0
# An engine works at most this long for a caller that has left.
LEFT_MAX_S = 3.0
# Changes are in force everywhere after this time.
IN_FORCE_S = 6.0


class ChatTest(unittest.IsolatedAsyncioTestCase):
    """Whole answers while engines and routers fail."""

    async def test_cut_stream_is_resumed_at_its_offset(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            caller = helper.Caller(running)
            engine = running.upstreams["llm-0"]
            await running.set_faults(engine, cut_after=20)
            router = running.routers["router-0"]
            answer = await caller.chat(router, "c", LONG)
            self.assertTrue(answer.whole)
            self.assertEqual(
                answer.tokens(), helper.expect_tokens("hello", LONG)
            )
            # The engine still had the request, so it ran only once.
            runs = (await running.fetch_record(engine))["runs"]
            self.assertEqual(len(runs), 1)

    async def test_killed_engine_is_replaced_without_gap_or_repeat(self):
        async with fleet.Fleet(helper.make_plan()) as running:
            caller = helper.Caller(running)
            router = running.routers["router-0"]
            first = await caller.chat(router, "c")
            engine = first.headers["X-Served-By"]
            turn = asyncio.create_task(caller.chat(router, "c", LONG))
            await asyncio.sleep(0.7)
            await running.upstreams[engine].kill()
            answer = await turn
            self.assertTrue(answer.whole, answer.raw[-300:])
            self.assertEqual(
                answer.tokens(), helper.expect_tokens("hello", LONG)
            )
            # The new engine went on from the text so far, not from the start.
            offsets = [
                run["offset"]
                for name, process in running.upstreams.items()
                if name.startswith("llm") and process.is_running
                for run in (await running.fetch_record(process))["runs"]
            ]
            self.assertTrue(any(offset > 5 for offset in offsets), offsets)

    async def test_crossed_answer_never_reaches_the_caller(self):
        await self._answer_crossed(cross=1)

    async def test_crossed_event_never_reaches_the_caller(self):
        await self._answer_crossed(cross_event=1)

    async def _answer_crossed(self, **faults: int) -> None:
        """An engine answers once for another request."""
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            caller = helper.Caller(running)
            await running.set_faults(running.upstreams["llm-0"], **faults)
            answer = await caller.chat(running.routers["router-1"], "c")
            self.assertTrue(answer.whole)
            self.assertNotIn(b"of-another-request", answer.raw)
            self.assertEqual(answer.tokens(), helper.expect_tokens("hello", 16))

    async def test_caller_that_leaves_stops_the_engine(self):
        """The engine would keep the answer for 8 s otherwise."""
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            await self._leave_once(running, "running")

    async def test_caller_that_leaves_before_the_engine_takes_it_up(self):
        """The first cancel overtakes the request, and ends nothing."""
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            engine = running.upstreams["llm-0"]
            await running.set_faults(engine, late_ms=300)
            await self._leave_once(running, "arrived")
            self.assertEqual(
                len((await running.fetch_record(engine))["runs"]), 1
            )

    async def _leave_once(self, running: fleet.Fleet, count: str) -> None:
        """Leaves when the engine counts a request; it must stop in time."""
        engine = running.upstreams["llm-0"]
        caller = helper.Caller(running)
        router = running.routers["router-0"]
        turn = asyncio.create_task(caller.chat(router, "c", 400))
        async with asyncio.timeout(10):
            while not (await running.fetch_record(engine))[count]:
                await asyncio.sleep(0.01)
        turn.cancel()
        await asyncio.gather(turn, return_exceptions=True)
        async with asyncio.timeout(LEFT_MAX_S):
            while True:
                record = await running.fetch_record(engine)
                if record["runs"] and not record["running"]:
                    return
                await asyncio.sleep(0.05)

    async def test_killed_router_harms_no_chat_of_others(self):
        async with fleet.Fleet(helper.make_plan()) as running:
            caller = helper.Caller(running)
            entry = running.routers["router-0"]
            turns = [
                asyncio.create_task(caller.chat(entry, f"c{i}", LONG))
                for i in range(6)
            ]
            await asyncio.sleep(0.7)
            await running.routers["router-1"].kill()
            await running.routers["router-2"].kill()
            for answer in await asyncio.gather(*turns):
                self.assertTrue(answer.whole, answer.raw[-300:])
                self.assertEqual(
                    answer.tokens(), helper.expect_tokens("hello", LONG)
                )

    async def test_answers_are_whole_while_a_router_is_frozen(self):
        settings = {"limits": {"upstream_silence_ms": 1000}}
        plan = helper.make_plan(settings=settings)
        async with fleet.Fleet(plan) as running:
            caller = helper.Caller(running)
            entry, frozen = (running.routers[f"router-{i}"] for i in (0, 1))
            turns = [
                asyncio.create_task(caller.chat(entry, f"c{i}", LONG))
                for i in range(9)
            ]
            await asyncio.sleep(0.7)
            frozen.signal(signal.SIGSTOP)
            answers = await asyncio.gather(*turns)
            frozen.signal(signal.SIGCONT)
            for answer in answers:
                self.assertTrue(answer.whole, answer.raw[-300:])
                self.assertEqual(
                    answer.tokens(), helper.expect_tokens("hello", LONG)
                )


class BoundTest(unittest.IsolatedAsyncioTestCase):
    """No engine above its bound, by the engines' own records."""

    async def test_bound_holds_while_a_router_is_paused_and_wakes(self):
        """24 callers share one hot chat; all prefer the same engine."""
        async with fleet.Fleet(helper.make_plan(engines=4)) as running:
            caller = helper.Caller(running)
            routers = list(running.routers.values())
            stop = asyncio.Event()

            async def call(router: fleet.Process, index: int) -> None:
                await asyncio.sleep(index * 0.05)
                while not stop.is_set():
                    await caller.chat(router, "hot", 40, work="tag")

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
        """Replays the engines' loads in the order of time."""
        changes = []
        for name, process in running.upstreams.items():
            if name.startswith("llm"):
                record = await running.fetch_record(process)
                changes += [(at, name, load) for at, load in record["loads"]]
        loads: dict[str, int] = {}
        passed = 0
        for _, name, load in sorted(changes):
            grew = load > loads.get(name, 0)
            loads[name] = load
            mean = sum(loads.values()) / 4
            passed += grew and load > LOAD_BOUND * mean + LOAD_SLACK
        self.assertGreater(len(changes), 200)
        self.assertEqual(passed, 0)


class OrderTest(unittest.IsolatedAsyncioTestCase):
    """Non-idempotent requests run at most once."""

    async def test_lost_answer_is_unknown_and_never_sent_again(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            caller = helper.Caller(running)
            for name in ("shop-0", "shop-1"):
                await running.set_faults(
                    running.upstreams[name], drop_answers=9
                )
            for key in ("", "k1"):
                body = f"order {key}"
                for router in running.routers.values():
                    answer = await caller.order(router, body, key)
                    if not key:
                        break
                    self.assertFalse(answer.error["not_run"])
                self.assertFalse(answer.error["not_run"])
                self.assertEqual(await caller.count_runs(body), 1)

    async def test_lost_answer_of_a_put_is_not_sent_again(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            caller = helper.Caller(running)
            for name in ("shop-0", "shop-1"):
                await running.set_faults(
                    running.upstreams[name], drop_answers=2
                )
            router = running.routers["router-0"]
            answer = await caller.send(
                "PUT", f"{router.url}/svc/shop/orders/1", data="put"
            )
            self.assertEqual(answer.error["code"], "outcome_unknown")
            self.assertEqual(await caller.count_runs("put"), 1)

    async def test_cut_or_crossed_answer_is_unknown(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            caller = helper.Caller(running)
            router = running.routers["router-0"]
            for fault in ("cut_answers", "cross_answers"):
                for name in ("shop-0", "shop-1"):
                    await running.set_faults(
                        running.upstreams[name], **{fault: 1}
                    )
                answer = await caller.order(router, fault)
                self.assertEqual(answer.error["code"], "outcome_unknown")
                self.assertEqual(await caller.count_runs(fault), 1)
                for name in ("shop-0", "shop-1"):
                    await running.set_faults(
                        running.upstreams[name], **{fault: 0}
                    )

    async def test_outage_refuses_keyed_orders_and_runs_nothing(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            caller = helper.Caller(running)
            router, other = (running.routers[f"router-{i}"] for i in (0, 1))
            await running.set_faults(running.kv, down=True)
            keyed = await caller.order(router, "keyed", "k1")
            self.assertEqual(keyed.error["code"], "claims_unavailable")
            self.assertTrue(keyed.error["not_run"])
            self.assertGreater(keyed.error["retry_after_ms"], 0)
            self.assertEqual(await caller.count_runs("keyed"), 0)
            unkeyed = await caller.order(router, "unkeyed")
            self.assertEqual(unkeyed.status, 200)
            await running.set_faults(running.kv, down=False)
            again = await caller.order(other, "keyed", "k1")
            self.assertEqual(again.status, 200)
            self.assertEqual(await caller.count_runs("keyed"), 1)
            self.assertEqual(await caller.count_runs("unkeyed"), 1)

    async def test_claim_with_a_lost_answer_is_recognised(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            caller = helper.Caller(running)
            router, other = (running.routers[f"router-{i}"] for i in (0, 1))
            await running.set_faults(running.kv, lose_answers=1)
            answer = await caller.order(router, "order", "k1")
            self.assertEqual(answer.status, 200)
            again = await caller.order(other, "order", "k1")
            self.assertEqual(again.status, 200)
            self.assertEqual(again.headers["X-Idempotent-Replay"], "true")
            self.assertEqual(again.raw, answer.raw)
            self.assertEqual(await caller.count_runs("order"), 1)

    async def test_repeat_after_a_killed_router_is_not_sent(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            caller = helper.Caller(running)
            router, other = (running.routers[f"router-{i}"] for i in (0, 1))
            for name in ("shop-0", "shop-1"):
                await running.set_faults(running.upstreams[name], slow_ms=800)
            turn = asyncio.create_task(caller.order(router, "order", "k1"))
            await asyncio.sleep(0.4)
            await router.kill()
            await asyncio.gather(turn, return_exceptions=True)
            again = await caller.order(other, "order", "k1")
            self.assertEqual(again.error["code"], "in_progress")
            self.assertFalse(again.error["not_run"])
            await asyncio.sleep(0.8)
            self.assertEqual(await caller.count_runs("order"), 1)

    async def test_order_whose_caller_left_is_finished_before_the_end(self):
        """Its router is told to stop; a repeat gets the recorded answer."""
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            caller = helper.Caller(running)
            router, other = (running.routers[f"router-{i}"] for i in (0, 1))
            for name in ("shop-0", "shop-1"):
                await running.set_faults(running.upstreams[name], slow_ms=3000)
            turn = asyncio.create_task(caller.order(router, "order", "k1"))
            await asyncio.sleep(0.4)
            turn.cancel()
            await asyncio.gather(turn, return_exceptions=True)
            router.signal(signal.SIGTERM)
            self.assertEqual(await router.wait(), 0)
            again = await caller.order(other, "order", "k1")
            self.assertEqual(again.status, 200)
            self.assertEqual(again.headers["X-Idempotent-Replay"], "true")
            self.assertEqual(await caller.count_runs("order"), 1)

    async def test_concurrent_repeats_run_once(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            caller = helper.Caller(running)
            routers = list(running.routers.values())
            turns = [
                caller.order(routers[i % 3], "order", "k1") for i in range(12)
            ]
            answers = await asyncio.gather(*turns)
            statuses = {answer.status for answer in answers}
            self.assertIn(200, statuses)
            self.assertLessEqual(statuses, {200, 409})
            self.assertEqual(await caller.count_runs("order"), 1)

    async def test_all_replicas_dead_is_refused_at_once(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            caller = helper.Caller(running)
            router = running.routers["router-0"]
            await running.upstreams["shop-0"].kill()
            await running.upstreams["shop-1"].kill()
            async with asyncio.timeout(10):
                for key in ("", "k1"):
                    answer = await caller.order(router, "order", key)
                    self.assertEqual(answer.error["code"], "no_upstream")
                    self.assertTrue(answer.error["not_run"])
                url = f"{router.url}/svc/shop/stock"
                answer = await caller.send("GET", url)
                self.assertEqual(answer.error["code"], "no_upstream")
                self.assertTrue((await caller.chat(router, "c")).whole)

    async def test_lookup_that_may_have_run_is_not_called_not_run(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            caller = helper.Caller(running)
            router = running.routers["router-0"]
            await running.upstreams["shop-0"].kill()
            replica = running.upstreams["shop-1"]
            await running.set_faults(replica, drop_answers=99)
            for index in range(4):
                url = f"{router.url}/svc/shop/stock/{index}"
                answer = await caller.send("GET", url)
                runs = await running.fetch_record(replica)
                ran = any(r["path"] == f"/stock/{index}" for r in runs)
                self.assertFalse(ran and answer.error["not_run"])

    async def test_dead_replica_is_passed_over(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            caller = helper.Caller(running)
            await running.upstreams["shop-0"].kill()
            router = running.routers["router-0"]
            for index in range(6):
                answer = await caller.order(router, f"order {index}")
                self.assertEqual(answer.status, 200)
                runs = await caller.count_runs(f"order {index}")
                self.assertEqual(runs, 1)


class LeavingTest(unittest.IsolatedAsyncioTestCase):
    """Upstreams and routers that leave."""

    async def _drive(self, running: fleet.Fleet, seconds: float) -> list:
        """Sends chats and orders through all routers for a while."""
        caller = helper.Caller(running)
        routers = [r for r in running.routers.values() if r.is_running]
        answers = []
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        index = 0
        while loop.time() < until:
            router = routers[index % len(routers)]
            answers.append(await caller.chat(router, f"c{index % 20}", 4))
            answers.append(await caller.order(router, f"o{index}"))
            index += 1
        return answers

    async def test_leaving_upstreams_get_nothing_after_two_seconds(self):
        async with fleet.Fleet(helper.make_plan()) as running:
            await self._drive(running, 1)
            engine, replica = (
                running.upstreams[n] for n in ("llm-0", "shop-0")
            )
            # The engine says itself that it leaves; the list lags behind.
            await running.set_faults(running.vms, lag_ms=60_000)
            await running.set_faults(engine, draining=True)
            await running.set_faults(running.vms, lag_ms=0)
            await running.mark_leaving("shop-0")
            await self._drive(running, 2)
            before = len((await running.fetch_record(engine))["runs"])
            before += len(await running.fetch_record(replica))
            answers = await self._drive(running, 2)
            after = len((await running.fetch_record(engine))["runs"])
            after += len(await running.fetch_record(replica))
            self.assertEqual(after, before)
            for answer in answers:
                self.assertEqual(answer.status, 200)

    async def test_shutdown_cuts_off_no_request(self):
        document = {"defaults": {"engine_slots": 2}}
        plan = helper.make_plan(routers=4, document=document)
        async with fleet.Fleet(plan) as running:
            caller = helper.Caller(running)
            routers = list(running.routers.values())
            turns = [
                asyncio.create_task(
                    caller.chat(routers[i % 4], f"c{i}", LONG, work="tag")
                )
                for i in range(12)
            ]
            await asyncio.sleep(0.6)
            leaving = routers[:2]
            for router in leaving:
                router.signal(signal.SIGTERM)
            answers = await asyncio.gather(*turns)
            for answer in answers:
                self.assertTrue(answer.whole, answer.raw[-300:])
                self.assertEqual(
                    answer.tokens(), helper.expect_tokens("hello", LONG)
                )
            for router in leaving:
                self.assertEqual(await router.wait(), 0)


class ConfigTest(unittest.IsolatedAsyncioTestCase):
    """Accepted configurations stay in force everywhere."""

    async def _revisions(self, running: fleet.Fleet) -> set[int]:
        return {
            (await running.dump(r))["configuration"]["revision"]
            for r in running.routers.values()
            if r.is_running
        }

    async def _wait_for_revision(
        self, running: fleet.Fleet, revision: int
    ) -> None:
        async with asyncio.timeout(IN_FORCE_S):
            while await self._revisions(running) != {revision}:
                await asyncio.sleep(0.05)

    async def _set(self, running: fleet.Fleet, value: str) -> tuple[int, str]:
        return await running.run_operator(
            "config", "set", "load_bound", value, "--reason", "test"
        )

    async def test_change_outlives_the_service_and_reaches_new_routers(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            code, output = await self._set(running, "1.7")
            self.assertEqual(code, 0, output)
            await running.set_faults(running.kv, down=True)
            await running.start_router("router-9", "a")
            await self._wait_for_revision(running, 2)
            code, output = await self._set(running, "1.8")
            self.assertEqual(code, 4, output)

    async def test_restored_service_is_noticed_and_not_followed(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            await running.http.post(f"{running.kv.url}/save")
            code, output = await self._set(running, "1.7")
            self.assertEqual(code, 0, output)
            await running.http.post(f"{running.kv.url}/restore")
            await asyncio.sleep(3)
            self.assertEqual(await self._revisions(running), {2})
            dump = await running.dump(running.routers["router-0"])
            self.assertTrue(dump["alarms"])
            code, output = await self._set(running, "1.8")
            self.assertEqual(code, 3, output)
            self.assertIn("older state", output)
            code, output = await running.run_operator(
                "config", "restore", "--reason", "backup was old"
            )
            self.assertEqual(code, 0, output)
            self.assertEqual(await self._revisions(running), {3})

    async def test_offered_edit_brings_no_old_list_of_engines_back(self):
        """Routers that hear of the list from peers have an old one of theirs.

        Each is offered a document after an engine was marked as leaving.
        """
        async with fleet.Fleet(helper.make_plan(engines=2)) as running:
            routers = running.routers.values()
            await running.mark_leaving("llm-0")
            async with asyncio.timeout(IN_FORCE_S):
                while {
                    await self._show_engine(running, router, "llm-0")
                    for router in routers
                } != {"draining"}:
                    await asyncio.sleep(0.05)
            # Longer than a reading takes to reach all.
            await asyncio.sleep(2.0)
            for router in routers:
                url = f"{router.peer_url}/config"
                async with running.http.get(url) as reply:
                    document = await reply.json()
                document["revision"] += 1
                await running.http.post(url, json=document)
                state = await self._show_engine(running, router, "llm-0")
                self.assertEqual(state, "draining")

    async def _show_engine(
        self, running: fleet.Fleet, router: fleet.Process, name: str
    ) -> str:
        rows = (await running.dump(router))["upstreams"]
        return {row["name"]: row["state"] for row in rows}[name]

    async def test_edit_with_a_lost_answer_is_accepted_once(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            # The first write keeps the history, the second is the edit.
            await running.set_faults(running.kv, lose_answers=1)
            code, output = await self._set(running, "1.6")
            self.assertIn(code, (0, 4), output)
            await running.set_faults(running.kv, lose_answers=0)
            code, output = await self._set(running, "1.7")
            self.assertEqual(code, 0, output)

    async def test_racing_operators_get_a_readable_conflict(self):
        async with fleet.Fleet(helper.make_plan(engines=1)) as running:
            outcomes = await asyncio.gather(
                *(self._set(running, f"1.{i}") for i in range(1, 6))
            )
            accepted = [output for code, output in outcomes if code == 0]
            for code, output in outcomes:
                self.assertIn(code, (0, 3), output)
                if code == 3:
                    self.assertIn("another operator was first", output)
            self.assertEqual(
                await self._revisions(running), {1 + len(accepted)}
            )
            code, output = await running.run_operator(
                "config", "history", "--json"
            )
            self.assertEqual(output.count('"revision"'), 1 + len(accepted))


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Recovery of the whole fleet."""

    async def test_all_routers_replaced_one_after_another(self):
        async with fleet.Fleet(helper.make_plan()) as running:
            caller = helper.Caller(running)
            for index in range(3):
                new = await running.start_router(f"new-{index}", "abc"[index])
                old = running.routers[f"router-{index}"]
                turn = asyncio.create_task(caller.chat(old, f"c{index}", LONG))
                await asyncio.sleep(0.4)
                old.signal(signal.SIGTERM)
                self.assertTrue((await turn).whole)
                self.assertEqual(await old.wait(), 0)
                answer = await caller.chat(new, f"c{index}")
                self.assertTrue(answer.whole, answer.raw)

    async def test_all_routers_killed_at_once(self):
        async with fleet.Fleet(helper.make_plan()) as running:
            caller = helper.Caller(running)
            for router in list(running.routers.values()):
                await router.kill()
            running.routers.clear()
            for index in range(3):
                await running.start_router(f"again-{index}", "abc"[index])
            await running.wait_until_ready()
            for router in running.routers.values():
                self.assertTrue((await caller.chat(router, "c")).whole)


if __name__ == "__main__":
    unittest.main()
