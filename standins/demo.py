"""Drives one session of each user through a whole system and checks it."""

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
    """What a session came to.

    Attributes:
      lines: One line a request for people: where it went and why.
      transcript: What the caller saw, free of times and chance.
      failures: What should not have happened.
    """

    lines: list[str] = dataclasses.field(default_factory=list)
    transcript: list[dict] = dataclasses.field(default_factory=list)
    failures: list[str] = dataclasses.field(default_factory=list)


class Session:
    """Sends the requests of one user, each at the next router."""

    def __init__(self, user: scenarios.Scenario, running: fleet.Fleet):
        self._user = user
        self._fleet = running
        self._turn = 0
        self._history: dict[str, list[dict]] = collections.defaultdict(list)
        self._engine: dict[str, str] = {}
        self.outcome = SessionResult()

    def _next_router(self) -> fleet.Process:
        routers = list(self._fleet.routers.values())
        self._turn += 1
        return routers[self._turn % len(routers)]

    async def run(self) -> SessionResult:
        """Sends all requests and compares with the upstreams' records."""
        steps: dict[type, Callable] = {
            scenarios.ChatTurn: self._chat,
            scenarios.KeyedRequest: self._order,
            scenarios.IdempotentRequest: self._look_up,
        }
        for step in self._user.session:
            await steps[type(step)](step)
        await self._check_records()
        return self.outcome

    async def _chat(self, step: scenarios.ChatTurn) -> None:
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
                "model": self._user.model,
                "messages": history,
                "max_tokens": 64,
                "stream": True,
            },
        ) as response:
            raw = (await response.read()).decode()
            status = response.status
            engine = response.headers.get("X-Served-By", "")
            cached = int(response.headers.get("X-Cached-Tokens", 0))
        text = _join(raw)
        history.append({"role": "assistant", "content": text})
        if status != 200 or not raw.endswith("data: [DONE]\n\n"):
            self.outcome.failures.append(
                f"{step.request_id}: cut: {raw[-200:]}"
            )
        self._check_return(step, engine, cached)
        why = await self._explain(step.request_id)
        self.outcome.lines.append(
            f"{step.request_id:9} {router.name} -> {engine}: "
            f"{cached} tokens reused; {why}"
        )
        self.outcome.transcript.append(
            {
                "request": step.request_id,
                "status": status,
                "answer": text,
                "reused": cached > 0,
            }
        )

    def _check_return(
        self, step: scenarios.ChatTurn, engine: str, cached: int
    ) -> None:
        """Checks that a chat's next turn finds its prefix."""
        if not step.chat:
            return
        before = self._engine.setdefault(step.chat, engine)
        returning = len(self._history[step.chat]) > 2
        if returning and (before != engine or not cached):
            self.outcome.failures.append(
                f"{step.request_id}: went to {engine} after {before}, "
                f"{cached} tokens reused"
            )

    async def _order(self, step: scenarios.KeyedRequest) -> None:
        for attempt in range(step.repeats):
            router = self._next_router()
            async with self._fleet.http.post(
                f"{router.url}/svc/{self._user.service}{step.path}",
                headers={
                    "X-Client-Account": step.account,
                    "X-Request-Id": f"{step.request_id}.{attempt}",
                    "Idempotency-Key": step.key,
                },
                data=step.body,
            ) as response:
                body = await response.json()
                replay = response.headers.get("X-Idempotent-Replay", "false")
                served = response.headers.get("X-Served-By", "the claim")
                status = response.status
            why = await self._explain(f"{step.request_id}.{attempt}")
            self.outcome.lines.append(
                f"{step.request_id:9} {router.name} -> {served}: {why}"
            )
            self.outcome.transcript.append(
                {
                    "request": f"{step.request_id}.{attempt}",
                    "status": status,
                    "body": body.get("body"),
                    "replay": replay,
                }
            )

    async def _look_up(self, step: scenarios.IdempotentRequest) -> None:
        router = self._next_router()
        async with self._fleet.http.get(
            f"{router.url}/svc/{self._user.service}{step.path}",
            headers={
                "X-Client-Account": step.account,
                "X-Request-Id": step.request_id,
            },
        ) as response:
            await response.read()
            served = response.headers.get("X-Served-By", "")
            status = response.status
        why = await self._explain(step.request_id)
        self.outcome.lines.append(
            f"{step.request_id:9} {router.name} -> {served}: {why}"
        )
        self.outcome.transcript.append(
            {"request": step.request_id, "status": status}
        )

    async def _explain(self, request_id: str) -> str:
        """Returns why a request went where it went."""
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
        """Counts by the replicas' own records how often each order ran."""
        ran: collections.Counter[str] = collections.Counter()
        for process in self._fleet.upstreams.values():
            if process.name.startswith(self._user.service):
                for run in await self._fleet.fetch_record(process):
                    if run["method"] == "POST":
                        ran[run["body"]] += 1
        for step in self._user.session:
            if isinstance(step, scenarios.KeyedRequest) and ran[step.body] != 1:
                self.outcome.failures.append(
                    f"{step.request_id}: ran {ran[step.body]} times"
                )


def _join(raw: str) -> str:
    """Returns the text of a streamed answer."""
    parts = []
    for event in raw.split("\n\n"):
        _, _, data = event.partition("data: ")
        if data and data != "[DONE]" and "choices" in data:
            choice = json.loads(data)["choices"][0]
            parts.append(choice["delta"].get("content", ""))
    return "".join(parts)


async def change_configuration(running: fleet.Fleet) -> list[str]:
    """Changes a default with the command line; returns what went wrong."""
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


async def run(user: scenarios.Scenario) -> SessionResult:
    """Runs a user's whole session on a system of its own."""
    async with fleet.Fleet(user.spec) as running:
        outcome = await Session(user, running).run()
        for line in outcome.lines:
            print("  " + line)
        outcome.failures += await change_configuration(running)
        await running.stop_routers()
    for name, code in running.exit_codes.items():
        if code != 0:
            outcome.failures.append(f"{name} ended with {code}")
    return outcome


async def _run_all() -> list[str]:
    faults = []
    for user in scenarios.SCENARIOS.values():
        print(f"{user.name}:")
        faults += (await run(user)).failures
    return faults


def main() -> int:
    """Runs both sessions; returns 0 if nothing went wrong."""
    faults = asyncio.run(_run_all())
    for fault in faults:
        print(f"fault: {fault}")
    print("failed" if faults else "all answers whole, each order ran once")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
