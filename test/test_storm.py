"""Random concurrent faults on a fleet; checks the guarantees to clients."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import unittest

import aiohttp

from standins import fleet
from test import helper

SEEDS = [int(s) for s in os.environ.get("AGATEDOCK_SEEDS", "1").split(",")]
FAULT_PHASE_S = 14.0
CLIENT_COUNT = 4
ANSWER_TOKENS = 30
MAX_ATTEMPTS = 4


class ConcurrentFaults:
    """Injects faults into a fleet while clients send requests.

    Attributes:
      faults: Names of the faults injected so far.
      orders: Responses to each order by its body; None if the connection
        failed.
      chats: Text and response of each chat turn.
      finished: Tells the clients to stop.
    """

    def __init__(self, running: fleet.Fleet, seed: int):
        self._fleet = running
        self._random = random.Random(seed)
        self._client = helper.Caller(running)
        self._last_engine = 3
        self._last_router = 3
        self.faults: list[str] = []
        self.orders: dict[str, list[helper.Response | None]] = {}
        self.chats: list[tuple[str, helper.Response]] = []
        self.finished = False

    async def run(self) -> None:
        """Runs clients during the fault phase, then waits for them to end."""
        clients = [
            asyncio.create_task(self._run_client(index))
            for index in range(CLIENT_COUNT)
        ]
        loop = asyncio.get_running_loop()
        end_at = loop.time() + FAULT_PHASE_S
        actions = [
            self._pause_router,
            self._kill_engine,
            self._kill_router,
            self._stop_key_value_service,
            self._lose_responses,
            self._cut_streams,
            self._drain_engine,
        ]
        self._random.shuffle(actions)
        while loop.time() < end_at or len(self.faults) < len(actions):
            await asyncio.sleep(self._random.uniform(0.3, 1.2))
            action = actions[len(self.faults) % len(actions)]
            self.faults.append(action.__name__)
            await action()
        self.finished = True
        await asyncio.gather(*clients)

    def _list_running_routers(self) -> list[fleet.Process]:
        return [r for r in self._fleet.routers.values() if r.is_running]

    def _list_running_engines(self) -> list[fleet.Process]:
        return [
            p
            for p in self._fleet.upstreams.values()
            if p.is_running and p.name.startswith("llm")
        ]

    async def _pause_router(self) -> None:
        router = self._random.choice(self._list_running_routers())
        router.signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        router.signal(signal.SIGCONT)

    async def _kill_engine(self) -> None:
        if len(self._list_running_engines()) > 1:
            await self._random.choice(self._list_running_engines()).kill()
        self._last_engine += 1
        await self._fleet.start_engine(f"llm-{self._last_engine}", "llm", "a")

    async def _kill_router(self) -> None:
        if len(self._list_running_routers()) > 2:
            await self._random.choice(self._list_running_routers()).kill()
        self._last_router += 1
        await self._fleet.start_router(f"router-{self._last_router}", "b")

    async def _stop_key_value_service(self) -> None:
        await self._fleet.set_faults(self._fleet.kv, down=True)
        await asyncio.sleep(self._random.uniform(0.3, 2.0))
        await self._fleet.set_faults(self._fleet.kv, down=False)

    async def _lose_responses(self) -> None:
        count = self._random.randrange(1, 4)
        await self._fleet.set_faults(self._fleet.kv, lose_answers=count)
        for name in ("shop-0", "shop-1"):
            replica = self._fleet.upstreams[name]
            await self._fleet.set_faults(replica, drop_answers=1)

    async def _cut_streams(self) -> None:
        for engine in self._list_running_engines():
            await self._fleet.set_faults(engine, cut_after=7, cross=1)

    async def _drain_engine(self) -> None:
        engines = self._list_running_engines()
        if len(engines) > 1:
            await self._fleet.set_faults(engines[0], draining=True)

    async def _run_client(self, index: int) -> None:
        """Sends chats and keyed orders; a failed order is sent again."""
        number = 0
        while not self.finished:
            number += 1
            await self._chat(f"c{index}", f"{index}.{number}")
            await self._order(f"order {index}.{number}")

    async def _chat(self, chat: str, text: str) -> None:
        router = self._random.choice(self._list_running_routers())
        try:
            response = await self._client.chat(
                router, chat, ANSWER_TOKENS, text
            )
        except (aiohttp.ClientError, ConnectionError):
            # The router of this connection was killed.
            return
        self.chats.append((text, response))

    async def _order(self, body: str) -> None:
        responses = self.orders.setdefault(body, [])
        for _ in range(MAX_ATTEMPTS):
            router = self._random.choice(self._list_running_routers())
            try:
                response = await self._client.order(
                    router, body, f"k-{body[6:]}"
                )
            except (aiohttp.ClientError, ConnectionError):
                responses.append(None)
                continue
            responses.append(response)
            if response.status == 200:
                return
            await asyncio.sleep(0.1)


class ConcurrentFaultsTest(unittest.IsolatedAsyncioTestCase):
    """Guarantees to clients, by their responses and the replicas' records."""

    async def test_guarantees_hold_under_concurrent_faults(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self._run(seed)

    async def _run(self, seed: int) -> None:
        settings = {"limits": {"upstream_silence_ms": 1500}}
        async with fleet.Fleet(helper.make_plan(settings=settings)) as running:
            scenario = ConcurrentFaults(running, seed)
            await scenario.run()
            self.assertGreater(len(scenario.chats), 10)
            for text, response in scenario.chats:
                self._check_chat(text, response)
            for body, responses in scenario.orders.items():
                run_count = await helper.Caller(running).count_runs(body)
                self._check_order(body, responses, run_count)

    def _check_chat(self, text: str, response: helper.Response) -> None:
        """Checks for the full response to this message or an error code."""
        self.assertNotIn(b"of-another-request", response.raw)
        if response.whole:
            expected = helper.expect_tokens(text, ANSWER_TOKENS)
            self.assertEqual(response.tokens(), expected)
        else:
            self.assertIn("code", response.error)

    def _check_order(
        self, body: str, responses: list[helper.Response | None], run_count: int
    ) -> None:
        self.assertLessEqual(run_count, 1, body)
        if any(r is not None and r.status == 200 for r in responses):
            self.assertEqual(run_count, 1, body)
        received = [r for r in responses if r is not None]
        all_not_run = len(received) == len(responses) and all(
            r.status != 200 and r.error["not_run"] for r in received
        )
        if all_not_run:
            self.assertEqual(run_count, 0, body)
