"""Many faults at once, drawn by seed, against the promises."""

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
STORM_S = 14.0
CALLERS = 4
TOKENS = 30
TRIES = 4


class Storm:
    """Faults and callers on one fleet."""

    def __init__(self, running: fleet.Fleet, seed: int):
        self._fleet = running
        self._random = random.Random(seed)
        self._caller = helper.Caller(running)
        self._engines = 3
        self._routers = 3
        self.faults: list[str] = []
        self.orders: dict[str, list[helper.Answer | None]] = {}
        self.chats: list[tuple[str, helper.Answer]] = []
        self.over = False

    async def run(self) -> None:
        """Runs callers while faults come, then lets all come to rest."""
        callers = [
            asyncio.create_task(self._call(index)) for index in range(CALLERS)
        ]
        loop = asyncio.get_running_loop()
        until = loop.time() + STORM_S
        actions = [
            self._freeze_router,
            self._kill_engine,
            self._kill_router,
            self._stop_service,
            self._lose_answers,
            self._cut_streams,
            self._drain_engine,
        ]
        self._random.shuffle(actions)
        while loop.time() < until or len(self.faults) < len(actions):
            await asyncio.sleep(self._random.uniform(0.3, 1.2))
            action = actions[len(self.faults) % len(actions)]
            self.faults.append(action.__name__)
            await action()
        self.over = True
        await asyncio.gather(*callers)

    def _alive_routers(self) -> list[fleet.Process]:
        return [r for r in self._fleet.routers.values() if r.is_running]

    def _alive_engines(self) -> list[fleet.Process]:
        return [
            p
            for p in self._fleet.upstreams.values()
            if p.is_running and p.name.startswith("llm")
        ]

    async def _freeze_router(self) -> None:
        router = self._random.choice(self._alive_routers())
        router.signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        router.signal(signal.SIGCONT)

    async def _kill_engine(self) -> None:
        if len(self._alive_engines()) > 1:
            await self._random.choice(self._alive_engines()).kill()
        self._engines += 1
        await self._fleet.start_engine(f"llm-{self._engines}", "llm", "a")

    async def _kill_router(self) -> None:
        if len(self._alive_routers()) > 2:
            await self._random.choice(self._alive_routers()).kill()
        self._routers += 1
        await self._fleet.start_router(f"router-{self._routers}", "b")

    async def _stop_service(self) -> None:
        await self._fleet.set_faults(self._fleet.kv, down=True)
        await asyncio.sleep(self._random.uniform(0.3, 2.0))
        await self._fleet.set_faults(self._fleet.kv, down=False)

    async def _lose_answers(self) -> None:
        count = self._random.randrange(1, 4)
        await self._fleet.set_faults(self._fleet.kv, lose_answers=count)
        for name in ("shop-0", "shop-1"):
            replica = self._fleet.upstreams[name]
            await self._fleet.set_faults(replica, drop_answers=1)

    async def _cut_streams(self) -> None:
        for engine in self._alive_engines():
            await self._fleet.set_faults(engine, cut_after=7, cross=1)

    async def _drain_engine(self) -> None:
        engines = self._alive_engines()
        if len(engines) > 1:
            await self._fleet.set_faults(engines[0], draining=True)

    async def _call(self, index: int) -> None:
        """Sends chats and keyed orders, repeating orders elsewhere."""
        number = 0
        while not self.over:
            number += 1
            await self._chat(f"c{index}", f"{index}.{number}")
            await self._order(f"order {index}.{number}")

    async def _chat(self, chat: str, text: str) -> None:
        router = self._random.choice(self._alive_routers())
        try:
            answer = await self._caller.chat(router, chat, TOKENS, text)
        except (aiohttp.ClientError, ConnectionError):
            # The router that the caller was connected to was killed.
            return
        self.chats.append((text, answer))

    async def _order(self, body: str) -> None:
        answers = self.orders.setdefault(body, [])
        for _ in range(TRIES):
            router = self._random.choice(self._alive_routers())
            try:
                answer = await self._caller.order(router, body, f"k-{body[6:]}")
            except (aiohttp.ClientError, ConnectionError):
                answers.append(None)
                continue
            answers.append(answer)
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)


class StormTest(unittest.IsolatedAsyncioTestCase):
    """The promises to callers, by what they got and the records."""

    async def test_promises_hold_in_a_storm(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self._run(seed)

    async def _run(self, seed: int) -> None:
        settings = {"limits": {"upstream_silence_ms": 1500}}
        async with fleet.Fleet(helper.make_plan(settings=settings)) as running:
            storm = Storm(running, seed)
            await storm.run()
            self.assertGreater(len(storm.chats), 10)
            for text, answer in storm.chats:
                self._check_chat(text, answer)
            for body, answers in storm.orders.items():
                ran = await helper.Caller(running).count_runs(body)
                self._check_order(body, answers, ran)

    def _check_chat(self, text: str, answer: helper.Answer) -> None:
        """Either the whole answer to this question or a clear error."""
        self.assertNotIn(b"of-another-request", answer.raw)
        if answer.whole:
            expected = helper.expect_tokens(text, TOKENS)
            self.assertEqual(answer.tokens(), expected)
        else:
            self.assertIn("code", answer.error)

    def _check_order(
        self, body: str, answers: list[helper.Answer | None], ran: int
    ) -> None:
        self.assertLessEqual(ran, 1, body)
        if any(a is not None and a.status == 200 for a in answers):
            self.assertEqual(ran, 1, body)
        known = [a for a in answers if a is not None]
        all_not_run = len(known) == len(answers) and all(
            a.status != 200 and a.error["not_run"] for a in known
        )
        if all_not_run:
            self.assertEqual(ran, 0, body)
