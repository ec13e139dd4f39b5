"""Replicas of a model service and a shop, and clients that call them."""

from __future__ import annotations

import asyncio
import time

from review import common

CHAT_TARGET = "/chat/1"
ORDER_TARGET = "/order/1"
CHAT_TIMEOUT_MS = 15000
ORDER_TIMEOUT_MS = 2000
CLIENT_TIMEOUT_MS = 15000
# Clients of each kind.
CHATTERS = 8
BUYERS = 16
PAUSE_S = 0.1
EVENTS = 20
EVENT_GAP_S = 0.05
ORDER_WORK_S = 0.3
CHUNK_BYTES = 65536


def make_routes() -> list[dict]:
    """Returns a route for chats and one for orders."""
    return [
        common.make_route(
            "/chat/",
            "streaming",
            "llm",
            TimeoutMs=CHAT_TIMEOUT_MS,
            TargetLatencyMs=500,
            TargetGapMs=400,
            Sticky=True,
        ),
        common.make_route(
            "/order/",
            "unsafe",
            "shop",
            TimeoutMs=ORDER_TIMEOUT_MS,
            TargetLatencyMs=300,
        ),
    ]


class Replicas:
    """A model service, one replica of which gets into trouble, and a shop.

    Attributes:
      in_trouble: Whether the first model replica sends bytes without end.
    """

    def __init__(
        self,
        record: common.Record,
        *,
        first_bytes: bytes,
        endless_bytes: bytes,
        bytes_per_s: float,
    ) -> None:
        """Creates replicas that do not listen yet.

        Args:
          record: The record of the case.
          first_bytes: What the replica in trouble sends first; `ID` in it
            stands for the id of the request.
          endless_bytes: What it sends again and again after that, until the
            caller closes the connection.
          bytes_per_s: What it sends at most, over all connections.
        """
        self.in_trouble = False
        self._record = record
        self._first_bytes = first_bytes
        self._chunk = endless_bytes * (CHUNK_BYTES // len(endless_bytes))
        self._bytes_per_s = bytes_per_s
        self._next_chunk_at = 0.0
        self.models = [
            common.Replica(f"llm-{number}", "llm", self.chat, slots=64)
            for number in (1, 2, 3)
        ]
        self.shops = [
            common.Replica(f"shop-{number}", "shop", self.order, slots=16)
            for number in (1, 2)
        ]

    @property
    def all(self) -> list[common.Replica]:
        """Returns all replicas."""
        return self.models + self.shops

    def list_runs(self) -> set[str]:
        """Returns the requests that ran, and writes them to the record."""
        for replica in self.all:
            for attempt_id in replica.runs:
                self._record.write(f"run at {replica.name}: {attempt_id}")
        return {
            attempt_id for replica in self.all for attempt_id in replica.runs
        }

    async def chat(
        self,
        replica: common.Replica,
        request: common.Request,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answers with a stream of events."""
        if self.in_trouble and replica is self.models[0]:
            await self._send_without_end(request, writer)
            return
        replica.runs.append(request.attempt_id)
        headers = common.make_sealed_headers(
            replica,
            request,
            Content_Type="text/event-stream",
            Transfer_Encoding="chunked",
        )
        writer.write(common.encode_response(200, headers, None))
        for number in range(1, EVENTS + 1):
            writer.write(common.encode_event(number))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(common.LAST_CHUNK)
        await writer.drain()

    async def order(
        self,
        replica: common.Replica,
        request: common.Request,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Runs an order and answers."""
        replica.runs.append(request.attempt_id)
        await asyncio.sleep(ORDER_WORK_S)
        headers = common.make_sealed_headers(replica, request)
        writer.write(common.encode_response(200, headers, b"ordered\n"))
        await writer.drain()

    async def _send_without_end(
        self, request: common.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Sends bytes until the caller closes the connection."""
        attempt_id = request.attempt_id
        self._record.write(f"bytes without end from llm-1: {attempt_id}")
        writer.write(self._first_bytes.replace(b"ID", attempt_id.encode()))
        size = 0
        try:
            while True:
                await self._wait_for_turn()
                writer.write(self._chunk)
                await writer.drain()
                size += len(self._chunk)
        finally:
            self._record.write(
                f"bytes without end from llm-1: {attempt_id}: the caller"
                f" closed the connection after {size} bytes"
            )

    async def _wait_for_turn(self) -> None:
        """Waits until the replica may send one more chunk."""
        now = asyncio.get_running_loop().time()
        at = max(now, self._next_chunk_at)
        self._next_chunk_at = at + len(self._chunk) / self._bytes_per_s
        await asyncio.sleep(at - now)


class Caller:
    """A client on a kept connection.

    Attributes:
      target: What it calls.
      lost_after_s: Time to the end of the connection of each request that ended
        with it, in seconds.
      sent_at: When each request was sent, in seconds.
      took_s: Time to each whole answer, in seconds.
    """

    def __init__(
        self, router: common.Router, record: common.Record, target: str
    ) -> None:
        self.target = target
        self._router = router
        self._record = record
        self._client: common.Client | None = None
        self.lost_after_s: dict[str, float] = {}
        self.sent_at: dict[str, float] = {}
        self.took_s: dict[str, float] = {}

    async def run(self, end_at: float) -> None:
        """Sends requests one after the other until a time."""
        while time.monotonic() < end_at:
            await asyncio.sleep(PAUSE_S)
            if self._client is None and not await self._connect():
                continue
            await self._call()
        if self._client is not None:
            self._client.close()

    async def _connect(self) -> bool:
        client = common.Client(self._router.address)
        try:
            await client.connect()
        except OSError:
            return False
        self._client = client
        return True

    async def _call(self) -> None:
        assert self._client is not None
        attempt_id = common.make_attempt_id()
        headers = {}
        if self.target == CHAT_TARGET:
            headers["X_Agatedock_Model"] = "m"
            headers["X_Agatedock_Token_Usage"] = "300,40"
            headers["X_Agatedock_Prompt_Prefix"] = f"aa01:200,{attempt_id}:100"
        begin = time.monotonic()
        self.sent_at[attempt_id] = begin
        try:
            answer = await self._client.call(
                "POST",
                self.target,
                attempt_id,
                CLIENT_TIMEOUT_MS,
                b"{}",
                **headers,
            )
        except (OSError, EOFError) as error:
            self._record.write(
                f"sent {self.target} {attempt_id}: no whole answer: {error!r}"
            )
            self.lost_after_s[attempt_id] = time.monotonic() - begin
            self._client = None
            return
        took_s = time.monotonic() - begin
        self.took_s[attempt_id] = took_s
        self._record.write(
            f"sent {self.target} {attempt_id}: answered {answer.status},"
            f" {len(answer.body)} bytes, after {took_s:.2f} s"
        )


async def play(
    site: common.Site,
    record: common.Record,
    replicas: Replicas,
    *,
    trouble_at_s: float,
    length_s: float,
) -> list[Caller]:
    """Plays chats and orders at one router; returns the clients.

    Args:
      site: The installation, which is started.
      record: The record of the case.
      replicas: Its replicas.
      trouble_at_s: When the first model replica gets into trouble.
      length_s: How long the clients send requests.
    """
    await site.start(common.make_configuration(make_routes()), replicas.all)
    (router,) = site.routers
    targets = [CHAT_TARGET] * CHATTERS + [ORDER_TARGET] * BUYERS
    callers = [Caller(router, record, target) for target in targets]
    end_at = time.monotonic() + length_s
    tasks = [asyncio.create_task(caller.run(end_at)) for caller in callers]
    await asyncio.sleep(trouble_at_s)
    replicas.in_trouble = common.is_troubled()
    record.write(f"llm-1 is in trouble: {replicas.in_trouble}")
    await asyncio.gather(*tasks)
    return callers
