"""Runs the session of each scenario on a fleet of its own and checks it."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import json
import sys

from standins import fleet
from standins import scenarios


@dataclasses.dataclass
class SessionResult:
    """Result of a session.

    Attributes:
      lines: One printed line a request: router, upstream and reason.
      transcript: What the client saw, without what varies between runs.
      failures: One message for each failed check.
    """

    lines: list[str] = dataclasses.field(default_factory=list)
    transcript: list[dict] = dataclasses.field(default_factory=list)
    failures: list[str] = dataclasses.field(default_factory=list)


class Session:
    """Sends the requests of one scenario, to the routers in turn."""

    def __init__(self, scenario: scenarios.Scenario, running: fleet.Fleet):
        self._scenario = scenario
        self._fleet = running
        self._request_count = 0
        self._history: dict[str, list[dict]] = collections.defaultdict(list)
        self._engine_by_chat: dict[str, str] = {}
        self.result = SessionResult()

    def _next_router(self) -> fleet.Process:
        routers = list(self._fleet.routers.values())
        self._request_count += 1
        return routers[self._request_count % len(routers)]

    async def run(self) -> SessionResult:
        """Sends all requests and checks the upstreams' records."""
        steps: dict[type, Callable] = {
            scenarios.ChatTurn: self._send_chat_turn,
            scenarios.KeyedRequest: self._send_keyed,
            scenarios.IdempotentRequest: self._send_idempotent,
        }
        for step in self._scenario.session:
            await steps[type(step)](step)
        await self._check_records()
        return self.result

    async def _send_chat_turn(self, step: scenarios.ChatTurn) -> None:
        router = self._next_router()
        history = self._history[step.chat or step.request_id]
        history.append({"role": "user", "content": step.text})
        headers = {
            "X-Client-Account": step.account,
            "X-Request-Id": step.request_id,
            "X-Work": step.work,
        }
        if step.chat:
            headers["X-Chat-Id"] = step.chat
        async with self._fleet.http.post(
            f"{router.url}/v1/chat/completions",
            headers=headers,
            json={
                "model": self._scenario.model,
                "messages": history,
                "max_tokens": 64,
                "stream": True,
            },
        ) as response:
            raw = (await response.read()).decode()
            status = response.status
            engine = response.headers.get("X-Served-By", "")
            cached = int(response.headers.get("X-Cached-Tokens", 0))
        text = _join_tokens(raw)
        history.append({"role": "assistant", "content": text})
        if status != 200 or not raw.endswith("data: [DONE]\n\n"):
            self.result.failures.append(f"{step.request_id}: cut: {raw[-200:]}")
        self._check_prefix_reuse(step, engine, cached)
        reason = await self._explain(step.request_id)
        self.result.lines.append(
            f"{step.request_id:9} {router.name} -> {engine}: "
            f"{cached} tokens reused; {reason}"
        )
        self.result.transcript.append(
            {
                "request": step.request_id,
                "status": status,
                "answer": text,
                "reused": cached > 0,
            }
        )

    def _check_prefix_reuse(
        self, step: scenarios.ChatTurn, engine: str, cached: int
    ) -> None:
        """Checks that a later turn of a chat reuses its cached prefix."""
        if not step.chat:
            return
        previous_engine = self._engine_by_chat.setdefault(step.chat, engine)
        returning = len(self._history[step.chat]) > 2
        if returning and (previous_engine != engine or not cached):
            self.result.failures.append(
                f"{step.request_id}: went to {engine} after {previous_engine}, "
                f"{cached} tokens reused"
            )

    async def _send_keyed(self, step: scenarios.KeyedRequest) -> None:
        for attempt in range(step.repeats):
            router = self._next_router()
            async with self._fleet.http.post(
                f"{router.url}/svc/{self._scenario.service}{step.path}",
                headers={
                    "X-Client-Account": step.account,
                    "X-Request-Id": f"{step.request_id}.{attempt}",
                    "Idempotency-Key": step.key,
                },
                data=step.body,
            ) as response:
                body = await response.json()
                replay = response.headers.get("X-Idempotent-Replay", "false")
                served_by = response.headers.get("X-Served-By", "the claim")
                status = response.status
            reason = await self._explain(f"{step.request_id}.{attempt}")
            self.result.lines.append(
                f"{step.request_id:9} {router.name} -> {served_by}: {reason}"
            )
            self.result.transcript.append(
                {
                    "request": f"{step.request_id}.{attempt}",
                    "status": status,
                    "body": body.get("body"),
                    "replay": replay,
                }
            )

    async def _send_idempotent(self, step: scenarios.IdempotentRequest) -> None:
        router = self._next_router()
        async with self._fleet.http.get(
            f"{router.url}/svc/{self._scenario.service}{step.path}",
            headers={
                "X-Client-Account": step.account,
                "X-Request-Id": step.request_id,
            },
        ) as response:
            await response.read()
            served_by = response.headers.get("X-Served-By", "")
            status = response.status
        reason = await self._explain(step.request_id)
        self.result.lines.append(
            f"{step.request_id:9} {router.name} -> {served_by}: {reason}"
        )
        self.result.transcript.append(
            {"request": step.request_id, "status": status}
        )

    async def _explain(self, request_id: str) -> str:
        """Returns outcome and placement reason from the routers' records."""
        records: list[dict] = []
        for router in self._fleet.routers.values():
            url = f"{router.peer_url}/explain/{request_id}"
            async with self._fleet.http.get(url) as response:
                records += await response.json()
        return ", ".join(
            f"{record['fields']['outcome']} ({record['fields']['reason']})"
            for record in records
        )

    async def _check_records(self) -> None:
        """Checks by the replicas' records that each keyed request ran once."""
        ran: collections.Counter[str] = collections.Counter()
        for process in self._fleet.upstreams.values():
            if process.name.startswith(self._scenario.service):
                for run in await self._fleet.fetch_record(process):
                    if run["method"] == "POST":
                        ran[run["body"]] += 1
        for step in self._scenario.session:
            if isinstance(step, scenarios.KeyedRequest) and ran[step.body] != 1:
                self.result.failures.append(
                    f"{step.request_id}: ran {ran[step.body]} times"
                )


def _join_tokens(raw: str) -> str:
    """Returns the text of a streamed response."""
    parts = []
    for event in raw.split("\n\n"):
        _, _, data = event.partition("data: ")
        if data and data != "[DONE]" and "choices" in data:
            choice = json.loads(data)["choices"][0]
            parts.append(choice["delta"].get("content", ""))
    return "".join(parts)


async def change_configuration(running: fleet.Fleet) -> list[str]:
    """Changes a default with the operators' program; returns failures."""
    code, output = await running.run_operator(
        "config", "set", "load_bound", "1.4", "--reason", "demonstration"
    )
    print("  " + output.strip().replace("\n", "; "))
    revisions = [
        (await running.dump(router))["configuration"]["revision"]
        for router in running.routers.values()
    ]
    if code != 0 or set(revisions) != {2}:
        return [f"configuration not in force: {revisions}, {output}"]
    return []


async def run(scenario: scenarios.Scenario) -> SessionResult:
    """Runs a scenario's session on a new fleet."""
    async with fleet.Fleet(scenario.spec) as running:
        result = await Session(scenario, running).run()
        for line in result.lines:
            print("  " + line)
        result.failures += await change_configuration(running)
        await running.stop_routers()
    for name, code in running.exit_codes.items():
        if code != 0:
            result.failures.append(f"{name} ended with {code}")
    return result


async def _run_all() -> list[str]:
    failures = []
    for scenario in scenarios.SCENARIOS.values():
        print(f"{scenario.name}:")
        failures += (await run(scenario)).failures
    return failures


def main() -> int:
    """Runs both sessions; returns the exit code, 0 if all checks passed."""
    failures = asyncio.run(_run_all())
    for failure in failures:
        print(f"fault: {failure}")
    print("failed" if failures else "all answers whole, each order ran once")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
