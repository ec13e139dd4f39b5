"""Where a request would go now, explained without sending it."""

from __future__ import annotations

import asyncio
import sys

from aiohttp import web
import msgspec

from agatedock.domain import requests
from agatedock.serving import dump
from agatedock.serving import explanation
from agatedock.serving import explanation_endpoint
from standins import runner
from test import platform_helper

PROMPT = tuple(
    requests.PromptPart(name, tokens)
    for name, tokens in (("aa", 10), ("bb", 100), ("cc", 5))
)


class ExplanationTest(platform_helper.RouterCase):
    """A router on stand-ins in calm."""

    def explain(self, route: str, **fields) -> explanation.Explanation:
        shared = self.router.core.shared
        query = explanation.Query(route, **fields)
        return explanation.Explainer(shared, shared.now()).explain(query)

    def read_state(self) -> object:
        """Returns the state dump without ages."""
        state = msgspec.to_builtins(dump.collect_dump(self.router.core))
        state["configuration"].pop("proof_age_ms")
        for member in state["members"]:
            member.pop("news_age_ms")
        return state

    async def test_explained_replica_is_the_one_that_is_chosen(self):
        for route, path, prompt in (
            ("chat", platform_helper.CHAT, PROMPT),
            ("draft", platform_helper.DRAFT, PROMPT),
        ):
            with self.subTest(route):
                found = self.explain(route, prompt=prompt)
                self.assertEqual(found.decision, "place")
                self.assertEqual(found.candidates[0].verdict, "first")
                status, headers, _ = await self.call(path, f"{route}-1")
                self.assertEqual(status, 200)
                seal = headers["X-Agatedock-Response-Seal"]
                self.assertEqual(seal, f"seal-{found.candidates[0].name}")

    async def test_request_without_a_prompt_goes_to_one_of_the_first(self):
        found = self.explain("order", account="office")
        self.assertEqual(found.reason, "least")
        status, headers, _ = await self.call(platform_helper.ORDER, "o")
        self.assertEqual(status, 200)
        names = [f"seal-{item.name}" for item in found.candidates]
        self.assertIn(headers["X-Agatedock-Response-Seal"], names)

    async def test_nothing_is_sent_reserved_or_learnt(self):
        before = self.read_state()
        for _ in range(5):
            self.explain("chat", prompt=PROMPT)
            self.explain("order")
        self.assertEqual(self.read_state(), before)
        self.assertEqual(self.list_runs(), [])

    async def test_reasons_of_replicas_that_get_nothing(self):
        shared = self.router.core.shared
        self.register("shop-2", "draining")
        self.store.put("op/evacuate/a", b"{}")
        await asyncio.sleep(2.0)
        found = self.explain("order")
        self.assertEqual(
            (found.decision, found.reason), ("refuse", "no_upstream")
        )
        self.assertGreater(found.retry_after_s, 0)
        verdicts = {item.name: item.verdict for item in found.candidates}
        self.assertEqual(verdicts["shop-1"], "evacuated")
        shared.directory.evacuations.apply_changes([], ["a"], shared.now())
        found = self.explain("order")
        verdicts = {item.name: item.verdict for item in found.candidates}
        self.assertEqual(verdicts, {"shop-1": "first", "shop-2": "draining"})

    async def test_unknown_names(self):
        for route, fields in (
            ("nowhere", {}),
            ("order", {"account": "nobody"}),
            ("order", {"domain": "moon"}),
        ):
            with (
                self.subTest(route, **fields),
                self.assertRaises(explanation.UnknownNameError),
            ):
                self.explain(route, **fields)

    async def run_command(self, *arguments: str) -> tuple[int, str]:
        """Runs `agatedock explain`; returns exit code and output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "agatedock.ui.operator",
            "explain",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, _ = await process.communicate()
        return process.returncode or 0, out.decode()

    async def test_command(self):
        shared = self.router.core.shared

        async def handle(raw: web.BaseRequest) -> web.Response:
            return explanation_endpoint.serve(shared, raw.query, shared.now())

        server, address = await runner.listen(web.Server(handle))
        try:
            url = f"http://{address}"
            code, text = await self.run_command(
                "--router", url, "--route", "chat", "--prefix", "bb:100"
            )
            self.assertEqual(code, 0)
            self.assertIn("decision: place", text)
            for arguments in (
                ("--route", "nowhere"),
                ("--route", "chat", "--prefix", "odd"),
                ("--route", "chat", "--account", "nobody"),
            ):
                code, _ = await self.run_command("--router", url, *arguments)
                self.assertEqual(code, 2, arguments)
        finally:
            await server.cleanup()
        code, _ = await self.run_command("--router", url, "--route", "chat")
        self.assertEqual(code, 3)
