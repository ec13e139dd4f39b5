"""The operator commands against a running fleet."""

from __future__ import annotations

import asyncio
import json
import pathlib
import signal
import unittest

from standins import fleet
from test import helper

ROOT = pathlib.Path(__file__).parent.parent


class OperatorTest(unittest.IsolatedAsyncioTestCase):
    """Output and exit code of each command."""

    async def test_commands(self):
        spec = helper.make_plan(
            routers=2, engines=2, replicas=1, document={"accounts": ["small"]}
        )
        async with fleet.Fleet(spec) as running:
            await self._check_files(running)
            await self._check_edit(running)
            await self._check_show_in_force(running)
            await self._check_inspection_commands(running)
            await self._check_dump_by_signal(running)

    async def _run(
        self, running: fleet.Fleet, expected_code: int, *arguments: str
    ) -> str:
        code, output = await running.run_operator(*arguments)
        self.assertEqual(code, expected_code, output)
        return output

    async def _check_files(self, running: fleet.Fleet) -> None:
        good = running.folder / "router-0.yaml"
        output = await self._run(running, 0, "check", "settings", str(good))
        self.assertIn("no findings", output)
        bad = running.folder / "bad.yaml"
        bad.write_text("name: r\nfailure_domain: a\nlog: {levle: info}\n")
        output = await self._run(running, 1, "check", "settings", str(bad))
        self.assertIn("bad.yaml:3 log.levle", output)
        self.assertIn("did you mean 'level'", output)
        output = await self._run(running, 1, "check", "settings", "/no/file")
        self.assertEqual(len(output.splitlines()), 1)
        output = await self._run(running, 1, "check", "menu", str(good))
        self.assertIn("known: deploy, fleet", output)
        deploy = ROOT / "deploy" / "system.toml"
        output = await self._run(running, 0, "check", "deploy", str(deploy))
        self.assertIn("no findings", output)

    async def _check_edit(self, running: fleet.Fleet) -> None:
        shown = await self._run(running, 0, "config", "show")
        path = running.folder / "edited.yaml"
        path.write_text(shown.replace("load_bound: 1.5", "load_bound: 1.7"))
        output = await self._run(running, 0, "config", "diff", str(path))
        self.assertIn("-  load_bound: 1.5", output)
        self.assertIn("+  load_bound: 1.7", output)
        edit_arguments = ("config", "edit", str(path), "--reason", "more room")
        output = await self._run(running, 3, *edit_arguments, "--base", "9")
        self.assertIn("another operator was first: revision 1", output)
        output = await self._run(
            running, 0, *edit_arguments, "--base", "1", "--author", "ada"
        )
        self.assertIn("accepted as revision 2", output)
        self.assertIn("in force on all routers", output)
        output = await self._run(running, 0, "config", "history", "--json")
        newest = json.loads(output)[0]
        self.assertEqual(newest["revision"], 2)
        self.assertEqual(newest["author"], "ada")
        self.assertEqual(newest["reason"], "more room")
        output = await self._run(
            running, 1, "config", "set", "load_bound", "0.5", "--reason", "x"
        )
        self.assertIn("defaults.load_bound", output)

    async def _check_show_in_force(self, running: fleet.Fleet) -> None:
        output = await self._run(running, 0, "config", "show", "--in-force")
        self.assertRegex(output, r"# revision 2 in force at router-\d, proved")
        self.assertIn("load_bound: 1.7", output)

    async def _check_inspection_commands(self, running: fleet.Fleet) -> None:
        client = helper.Caller(running)
        router = running.routers["router-1"]
        chat_response = await client.chat(router, "c", X_Request_Id="look-1")
        self.assertTrue(chat_response.whole)
        output = await self._run(running, 0, "explain", "look-1")
        self.assertIn(chat_response.headers["X-Served-By"], output)
        self.assertIn("reason=prefix", output)
        self.assertIn("Answered by", output)
        await self._run(running, 1, "explain", "never-seen")
        output = await self._run(running, 0, "routers", "--json")
        rows = json.loads(output)
        self.assertEqual([r["status"] for r in rows], ["alive", "alive"])
        self.assertEqual({r["revision"] for r in rows}, {2})
        output = await self._run(running, 0, "upstreams")
        for name in ("llm-0", "llm-1", "shop-0"):
            self.assertIn(name, output)
        dump = json.loads(await self._run(running, 0, "dump"))
        self.assertEqual(dump["configuration"]["revision"], 2)
        async with running.http.get(f"{router.peer_url}/metrics") as response:
            text = await response.text()
        self.assertIn("agatedock_requests", text)
        self.assertIn(
            'agatedock_first_event_seconds_count{service="llm"} 1', text
        )
        await self._run(running, 4, "dump", "--router", "http://127.0.0.1:9")

    async def _check_dump_by_signal(self, running: fleet.Fleet) -> None:
        running.routers["router-0"].signal(signal.SIGUSR1)
        log = running.folder / "router-0.log"
        for _ in range(50):
            if "event=dump" in log.read_text():
                break
            await asyncio.sleep(0.1)
        self.assertIn("event=dump", log.read_text())
        lines = log.read_text().splitlines()
        self.assertTrue(all(line.startswith("at=") for line in lines), lines)
