"""Invalid requests and overload: each request gets the right error code."""

from __future__ import annotations

import asyncio
import json
import unittest

from standins import fleet
from test import helper


class BadInputTest(unittest.IsolatedAsyncioTestCase):
    """One router gets malformed, oversize, slow and truncated requests."""

    async def test_every_bad_request_gets_its_error_code(self):
        plan = helper.make_plan(
            routers=1,
            engines=1,
            replicas=1,
            settings={
                "limits": {"body_max_bytes": 4096, "body_timeout_ms": 500}
            },
            document={"accounts": ["small"]},
        )
        async with fleet.Fleet(plan) as running:
            client = helper.Caller(running)
            url = running.routers["router-0"].url
            chat_url = f"{url}/v1/chat/completions"
            valid_body = {
                "model": "llm",
                "messages": [{"role": "u", "content": "x"}],
            }
            cases = [
                ("bad_request", {}, "not json"),
                ("bad_request", {}, json.dumps({"model": "llm"})),
                ("bad_request", {}, b"\xff\xfe\x00"),
                ("bad_request", {}, "[" * 2000),
                (
                    "unknown_model",
                    {},
                    json.dumps({**valid_body, "model": "no"}),
                ),
                ("too_large", {}, "x" * 5000),
                ("unknown_account", {"X-Client-Account": "no"}, "{}"),
                ("bad_request", {"X-Client-Account": "a b"}, "{}"),
                ("bad_request", {"X-Work": "unheard"}, "{}"),
                ("bad_request", {"X-Request-Id": "x" * 65}, "{}"),
                ("bad_request", {"X-Chat-Id": "a;b"}, "{}"),
                (
                    "too_large",
                    {},
                    json.dumps({**valid_body, "max_tokens": 32768, "pad": "x"})
                    + " " * 4096,
                ),
            ]
            for code, headers, data in cases:
                response = await client.send("POST", chat_url, headers, data)
                with self.subTest(code=code, headers=headers):
                    self.assertEqual(response.error["code"], code, data[:50])
                    self.assertTrue(response.error["not_run"])
            response = await client.send("GET", f"{url}/svc/none/x")
            self.assertEqual(response.error["code"], "unknown_service")
            await self._send_slow_body(running)
            await self._send_truncated_body(running)
            await self._send_duplicate_request_id(running)
            response = await client.chat(running.routers["router-0"], "c")
            self.assertTrue(response.whole)

    async def _send_raw(self, running, length: int, body: bytes) -> tuple:
        port = running.routers["router-0"].port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = (
            "POST /svc/shop/orders HTTP/1.1\r\nHost: x\r\n"
            f"X-Client-Account: small\r\nContent-Length: {length}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await writer.drain()
        return reader, writer

    async def _send_slow_body(self, running) -> None:
        reader, writer = await self._send_raw(running, 100, b"begun")
        response = await asyncio.wait_for(reader.read(2000), 5)
        self.assertIn(b"408", response)
        self.assertIn(b"read_timeout", response)
        writer.close()

    async def _send_truncated_body(self, running) -> None:
        _, writer = await self._send_raw(running, 100, b"cut short")
        writer.close()
        await asyncio.sleep(0.3)
        client = helper.Caller(running)
        self.assertEqual(await client.count_runs("cut short"), 0)

    async def _send_duplicate_request_id(self, running) -> None:
        client = helper.Caller(running)
        router = running.routers["router-0"]
        chats = [
            client.chat(router, f"c{i}", 30, X_Request_Id="same")
            for i in range(2)
        ]
        responses = await asyncio.gather(*chats)
        codes = sorted(response.status for response in responses)
        self.assertEqual(codes, [200, 409])


class OverloadTest(unittest.IsolatedAsyncioTestCase):
    """Rejected requests did not run; urgent ones run first."""

    async def test_rejected_requests_were_not_run(self):
        plan = helper.make_plan(
            routers=2,
            engines=1,
            replicas=1,
            document={
                "defaults": {"engine_slots": 2},
                "ranks": [
                    {
                        "name": name,
                        "first_token_ms": 500,
                        "worth": 1,
                        "floor_share": 0.3,
                    }
                    for name in ("urgent", "normal", "low")
                ],
            },
        )
        async with fleet.Fleet(plan) as running:
            client = helper.Caller(running)
            routers = list(running.routers.values())
            chats = [
                client.chat(routers[i % 2], f"c{i}", 60, X_Request_Id=f"id-{i}")
                for i in range(30)
            ]
            responses = await asyncio.gather(*chats)
            rejected = [i for i, a in enumerate(responses) if a.status == 429]
            self.assertGreater(len(rejected), 10)
            runs = (await running.fetch_record(running.upstreams["llm-0"]))[
                "runs"
            ]
            run_ids = {run["request_id"].rpartition(".")[0] for run in runs}
            for index in rejected:
                error = responses[index].error
                self.assertTrue(error["not_run"])
                self.assertGreater(error["retry_after_ms"], 0)
                self.assertIn("Retry-After", responses[index].headers)
                self.assertNotIn(f"id-{index}", run_ids)
            for response in responses:
                self.assertTrue(response.status == 429 or response.whole)

    async def test_urgent_requests_run_first_and_others_complete(self):
        plan = helper.make_plan(
            routers=1,
            engines=1,
            document={"defaults": {"engine_slots": 2}},
            engine_options=("--step-ms", "20", "--batch", "2"),
        )
        async with fleet.Fleet(plan) as running:
            client = helper.Caller(running)
            router = running.routers["router-0"]
            low_chats = [
                asyncio.create_task(
                    client.chat(router, f"low{i}", 100, work="tag")
                )
                for i in range(2)
            ]
            await asyncio.sleep(0.7)
            loop = asyncio.get_running_loop()
            started = loop.time()
            urgent_response = await client.chat(
                router, "urgent", 10, work="plan"
            )
            # Two low-priority chats occupy all slots for 2 s each.
            self.assertLess(loop.time() - started, 1.2)
            self.assertTrue(urgent_response.whole)
            for response in await asyncio.gather(*low_chats):
                self.assertTrue(response.whole, response.raw[-200:])
                self.assertEqual(
                    response.tokens(), helper.expect_tokens("hello", 100)
                )
            runs = (await running.fetch_record(running.upstreams["llm-0"]))[
                "runs"
            ]
            self.assertEqual(len(runs), 3)
