"""Helpers shared by tests: fleets, clients, replicas and golden files."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import json
import os
import pathlib
import zlib

import hypothesis

from agatedock.decisions import fleet_view
from agatedock.decisions import placement
from agatedock.domain import replicas
from agatedock.domain import requests
from agatedock.views import directory
from agatedock.views import health
from agatedock.views import loads
from agatedock.views import prefixes
from agatedock.views import replica_limits
from standins import fleet

GOLDEN = pathlib.Path(__file__).parent / "golden"
EXAMPLES = int(os.environ.get("AGATEDOCK_EXAMPLES", "100"))


def load_profile() -> None:
    """Makes hypothesis draw the same examples on each run."""
    hypothesis.settings.register_profile(
        "fixed",
        derandomize=True,
        deadline=None,
        database=None,
        max_examples=EXAMPLES,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    hypothesis.settings.load_profile("fixed")


def compare_golden(case, name: str, text: str) -> None:
    """Asserts that a text equals its golden file.

    With AGATEDOCK_GOLDEN=write the file is overwritten first.
    """
    path = GOLDEN / name
    if os.environ.get("AGATEDOCK_GOLDEN") == "write":
        path.write_text(text, encoding="utf-8")
    case.assertEqual(path.read_text(encoding="utf-8"), text)


def make_replica(number: int, **overrides) -> replicas.Replica:
    """Returns a ready replica of service llm; keywords override fields."""
    fields = {
        "replica_id": f"replica-{number}",
        "service": "llm",
        "address": f"10.0.0.{number}:80",
        "zone": "a",
        "slots": 8,
        "state": replicas.ReplicaState.READY,
        "started_at_ms": 1,
        "sequence": 1,
        **overrides,
    }
    return replicas.Replica(**fields)


def apply_listing(
    replica_directory: directory.Directory,
    listing: list[replicas.Replica],
    read_at: float,
    now: float,
) -> list[replicas.Replica]:
    """Applies a full listing to a directory, as read from the store.

    Replicas that are not in the listing are passed on as removed.

    Returns:
      The replicas that were removed or replaced by a restart.
    """
    before = {replica.replica_id for replica in replica_directory.list_all()}
    listed = {replica.replica_id for replica in listing}
    return replica_directory.apply_changes(
        listing, before - listed, read_at, now
    )


def make_prompted(
    request_id: str, prompt: tuple[requests.PromptPart, ...], now: float
) -> requests.Request:
    """Returns a request with the given prompt parts that arrives at `now`."""
    return requests.Request(
        request_id=request_id,
        method="POST",
        host="h",
        target="/",
        headers=(),
        account_key="",
        client_timeout_s=None,
        prompt=prompt,
        last_event_id=None,
        arrived_at=now,
    )


class LocalView:
    """One router's local view of replicas, as placement reads it."""

    def __init__(
        self,
        replica_directory: directory.Directory,
        get_leaving_share: Callable[[str], float | None] = lambda _: None,
        get_slowness: Callable[[str], float | None] = lambda _: None,
    ):
        self.loads = loads.Loads()
        self.conditions = health.ReplicaHealth()
        self.prefixes = prefixes.PrefixIndex()
        self.view = fleet_view.FleetView(
            loads=self.loads,
            health=self.conditions,
            prefixes=self.prefixes,
            find_replica=replica_directory.get_by_hash,
            count_running=lambda service: sum(
                self.loads.get_own_counts().values()
            ),
            count_peers=lambda: 0,
            zone="a",
            limits=replica_limits.ReplicaLimits(replica_directory.get_by_hash),
            is_evacuated=replica_directory.evacuations.includes,
            get_slowness=lambda replica_id: get_slowness(replica_id) or 1.0,
            get_leaving_share=get_leaving_share,
        )


def place_by_local_view(
    task: placement.Task, view: fleet_view.FleetView, now: float
) -> placement.Placement | None:
    """Places a request as a router whose peers do not reply.

    Returns:
      The placement, or None if no replica is usable.
    """
    options = placement.build_preference_list(task, view, now)
    if options is None:
        return None
    chosen = placement.choose_by_local_view(
        options.replicas, options.max_running, view
    )
    running = view.loads.count_total(chosen.replica_id)
    choice = placement.Choice(chosen, running, placement.Basis.NO_REPLY)
    return placement.make_placement(options, choice, task, view, now)


def make_plan(
    routers: int = 3,
    engines: int = 3,
    replicas: int = 2,
    settings: dict | None = None,
    document: dict | None = None,
    engine_options: tuple[str, ...] = ("--step-ms", "20"),
) -> fleet.FleetSpec:
    """Returns the specification of a small fleet over three domains."""
    domains = ("a", "b", "c")
    assigned_domains = [domains[i % len(domains)] for i in range(64)]
    return fleet.FleetSpec(
        document={
            "models": [{"name": "llm"}],
            "services": [{"name": "shop"}],
            "works": {"plan": "urgent", "ask": "normal", "tag": "low"},
            **(document or {}),
        },
        routers=tuple(assigned_domains[:routers]),
        engines={"llm": tuple(assigned_domains[:engines])},
        replicas={"shop": tuple(assigned_domains[:replicas])},
        engine_options=engine_options,
        settings=settings or {},
    )


@dataclasses.dataclass
class Response:
    """An HTTP response as the client received it."""

    status: int
    headers: dict[str, str]
    raw: bytes

    @property
    def json(self) -> dict:
        """Returns the body as JSON."""
        return json.loads(self.raw)

    @property
    def whole(self) -> bool:
        """Tells whether a streamed response ended with its `[DONE]` event."""
        return self.status == 200 and self.raw.endswith(b"data: [DONE]\n\n")

    @property
    def error(self) -> dict:
        """Returns the error object of a rejection or of a failed stream."""
        if self.status == 200:
            tail = self.raw.rpartition(b"event: error\ndata: ")[2]
            return json.loads(tail)["error"]
        return self.json["error"]

    def tokens(self) -> list[str]:
        """Returns the tokens of a streamed response in order."""
        texts = []
        for event in self.raw.split(b"\n\n"):
            data = event.partition(b"data: ")[2]
            if event.startswith(b"id: ") and b'"content"' in data:
                choice = json.loads(data)["choices"][0]
                texts.append(choice["delta"]["content"])
        return texts


class Caller:
    """Client of a running fleet."""

    def __init__(self, running: fleet.Fleet):
        self._fleet = running

    async def send(
        self,
        method: str,
        url: str,
        headers: dict[str, str] | None = None,
        data: bytes | str | None = None,
    ) -> Response:
        """Sends a request; the account is `small` unless a header names one."""
        headers = {"X-Client-Account": "small", **(headers or {})}
        async with self._fleet.http.request(
            method, url, headers=headers, data=data
        ) as response:
            raw = await response.read()
            return Response(response.status, dict(response.headers), raw)

    async def chat(
        self,
        router: fleet.Process,
        chat: str,
        tokens: int = 16,
        text: str = "hello",
        work: str = "ask",
        **headers: str,
    ) -> Response:
        """Sends one streamed chat turn.

        Args:
          router: The router to send to.
          chat: Id of the chat.
          tokens: Number of tokens that the engine generates.
          text: The message.
          work: Kind of work, which sets the priority class.
          **headers: Further headers, with `_` in place of `-`.
        """
        body = {
            "model": "llm",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 4 * tokens,
            "answer_tokens": tokens,
            "stream": True,
        }
        request_headers = {"X-Chat-Id": chat, "X-Work": work}
        request_headers.update(
            {k.replace("_", "-"): v for k, v in headers.items()}
        )
        return await self.send(
            "POST",
            f"{router.url}/v1/chat/completions",
            request_headers,
            json.dumps(body),
        )

    async def order(
        self, router: fleet.Process, body: str, key: str = ""
    ) -> Response:
        """Posts a shop order, with an idempotency key if `key` is set."""
        headers = {"Idempotency-Key": key} if key else {}
        return await self.send(
            "POST", f"{router.url}/svc/shop/orders", headers, body
        )

    async def count_runs(self, body: str) -> int:
        """Returns how often replicas ran an order, by their own records."""
        count = 0
        for process in self._fleet.upstreams.values():
            if process.name.startswith("shop") and process.is_running:
                runs = await self._fleet.fetch_record(process)
                count += sum(run["body"] == body for run in runs)
        return count


def expect_tokens(text: str, count: int) -> list[str]:
    """Returns the tokens that an engine stand-in generates for a message."""
    word = f"w{zlib.crc32(text.encode()) % 1000:03d}-"
    return [f"{word}{index} " for index in range(count)]
