"""A prompt part on which each replica crashes as it begins its answer."""

from __future__ import annotations

import asyncio
import os
import pathlib
import time

from review import common

FOLDER = pathlib.Path(__file__).resolve().parent
CLIENT_TIMEOUT_MS = 15000
CHATTERS = 8
LENGTH_S = 30.0
TROUBLE_AT_S = 4.0
PAUSE_S = 0.2
DEADLY_INTERVAL_S = 1.0
DOWN_S = 2.0
EVENTS = 20
EVENT_GAP_S = 0.04
READ_S = 0.05
# All requests share this part; it is sound.
COMMON_PART = "5757"
DEADLY_PART = "dead01"
# Rule BUDGET.
CRASHES_MAX = 5
ARRIVALS_MAX = 3
CONTACT_S = common.BOUNDS["ContactMs"] / 1000
# Events that a replica writes of the answer on which it crashes, and the time
# from the last of them to the crash.
CRASH_DELAY_S = 0.01
WRITTEN_EVENTS = int(os.environ.get("WRITTEN_EVENTS", "1"))


class Models:
    """Replicas of a model service that crash on one prompt part.

    Attributes:
      crashed_at: Times of the crashes, in seconds.
      deadly_arrivals: Times at which requests with the part arrived.
    """

    def __init__(self, site: common.Site, record: common.Record) -> None:
        self._site = site
        self._record = record
        self._restarts: set[asyncio.Task[None]] = set()
        self.crashed_at: list[float] = []
        self.deadly_arrivals: list[float] = []
        self.replicas = [
            common.Replica(f"llm-{number}", "llm", self.chat, slots=64)
            for number in range(1, 7)
        ]

    async def chat(
        self,
        replica: common.Replica,
        request: common.Request,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answers with a stream of events, or crashes at its beginning."""
        parts = request.headers["x-agatedock-prompt-prefix"]
        is_deadly = f"{DEADLY_PART}:" in parts
        if is_deadly:
            self.deadly_arrivals.append(time.monotonic())
            self._record.write(
                f"deadly part at {replica.name}: {request.attempt_id}"
            )
        replica.runs.append(request.attempt_id)
        await asyncio.sleep(READ_S)
        headers = common.make_sealed_headers(
            replica,
            request,
            Content_Type="text/event-stream",
            Transfer_Encoding="chunked",
        )
        writer.write(common.encode_response(200, headers, None))
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            if is_deadly and number - first >= WRITTEN_EVENTS:
                await asyncio.sleep(CRASH_DELAY_S)
                self._crash(replica)
                return
            writer.write(common.encode_event(number))
            await writer.drain()
            if not is_deadly:
                await asyncio.sleep(EVENT_GAP_S)
        writer.write(common.LAST_CHUNK)
        await writer.drain()

    def _crash(self, replica: common.Replica) -> None:
        if not replica.is_up:
            return
        self.crashed_at.append(time.monotonic())
        self._record.write(f"{replica.name} crashed")
        replica.stop()
        task = asyncio.create_task(self._restart(replica))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart(self, replica: common.Replica) -> None:
        await asyncio.sleep(DOWN_S)
        replica.begin_run()
        await replica.start()
        self._site.write_entry(replica)

    async def wait_for_restarts(self) -> None:
        """Waits until all replicas are up."""
        await asyncio.gather(*self._restarts)


async def call(
    router: common.Router,
    record: common.Record,
    parts: str,
) -> bool:
    """Sends one request on a new connection; returns whether it was whole."""
    attempt_id = common.make_attempt_id()
    client = common.Client(router.address)
    try:
        await client.connect()
        answer = await client.call(
            "POST",
            "/chat/1",
            attempt_id,
            CLIENT_TIMEOUT_MS,
            b"{}",
            X_Agatedock_Model="m",
            X_Agatedock_Token_Usage="2350,40",
            X_Agatedock_Prompt_Prefix=f"{parts},{attempt_id}:50",
        )
    except (OSError, EOFError) as error:
        record.write(f"sent {attempt_id} ({parts}): broken off: {error!r}")
        return False
    finally:
        client.close()
    record.write(f"sent {attempt_id} ({parts}): answered {answer.status}")
    return answer.status == 200


async def chat_soundly(
    site: common.Site, record: common.Record, number: int, end_at: float
) -> None:
    """Sends sound requests until a time."""
    parts = f"{COMMON_PART}:300,c0{number:02x}:2000"
    while time.monotonic() < end_at:
        await asyncio.sleep(PAUSE_S)
        router = site.routers[number % len(site.routers)]
        if not await call(router, record, parts):
            record.write("a sound request was not served")


async def send_deadly(
    site: common.Site, record: common.Record, end_at: float
) -> None:
    """Sends requests with the deadly part until a time."""
    number = 0
    tasks = []
    while time.monotonic() < end_at:
        await asyncio.sleep(DEADLY_INTERVAL_S)
        number += 1
        router = site.routers[number % len(site.routers)]
        parts = f"{COMMON_PART}:300,{DEADLY_PART}:2000"
        tasks.append(asyncio.create_task(call(router, record, parts)))
    await asyncio.gather(*tasks)


async def play(site: common.Site, record: common.Record) -> int:
    """Plays the case; returns its exit code."""
    models = Models(site, record)
    routes = [
        common.make_route(
            "/chat/",
            "streaming",
            "llm",
            TimeoutMs=15000,
            TargetLatencyMs=500,
            TargetGapMs=400,
            Sticky=True,
            Resumable=True,
        )
    ]
    await site.start(
        common.make_configuration(routes), models.replicas, router_count=3
    )
    end_at = time.monotonic() + LENGTH_S
    tasks = [
        asyncio.create_task(chat_soundly(site, record, number, end_at))
        for number in range(CHATTERS)
    ]
    await asyncio.sleep(TROUBLE_AT_S)
    if common.is_troubled():
        tasks.append(asyncio.create_task(send_deadly(site, record, end_at)))
    await asyncio.gather(*tasks)
    await models.wait_for_restarts()
    return judge(models, record)


def judge(models: Models, record: common.Record) -> int:
    """Returns the exit code."""
    for replica in models.replicas:
        for attempt_id in replica.runs:
            record.write(f"run at {replica.name}: {attempt_id}")
    record.write(
        f"crashes: {len(models.crashed_at)}; arrivals with the deadly part:"
        f" {len(models.deadly_arrivals)}"
    )
    if len(models.crashed_at) < CRASHES_MAX:
        return common.HELD
    bound_at = models.crashed_at[CRASHES_MAX - 1] + CONTACT_S
    late = sum(at > bound_at for at in models.deadly_arrivals)
    record.write(
        f"arrivals later than {CONTACT_S:.0f} s after the fifth crash: {late}"
    )
    return common.BROKEN if late > ARRIVALS_MAX else common.HELD


if __name__ == "__main__":
    common.run_case(FOLDER, play)
