"""Compares the sessions of both scenarios with their golden files."""

from __future__ import annotations

import json
import unittest

from standins import demo
from standins import scenarios
from test import helper


class SessionTest(unittest.IsolatedAsyncioTestCase):
    """Sends every request of a session through separate processes."""

    async def _run(self, key: str) -> None:
        outcome = await demo.run(scenarios.SCENARIOS[key])
        self.assertEqual(outcome.failures, [])
        text = "".join(
            json.dumps(row, sort_keys=True) + "\n" for row in outcome.transcript
        )
        helper.compare_golden(self, f"{key}.jsonl", text)

    async def test_kolanut(self):
        await self._run("kolanut")

    async def test_nile_husky(self):
        await self._run("nile-husky")
