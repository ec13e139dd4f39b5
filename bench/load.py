"""Seeded open-loop load generator for chats of several turns."""

from __future__ import annotations

import asyncio
import collections
from concurrent import futures
import dataclasses
import json
import multiprocessing
import random
import time

import aiohttp
from hdrh import histogram
import uvloop

RANKS = ("urgent", "normal", "low")
RANK_SHARES = (0.3, 0.5, 0.2)
ANSWER_TOKENS = 48
TURN_CHARS = 1200
CHAT_MAX_CHARS = 24_000
CHARS_PER_TOKEN = 4
SENDER_PROCESSES = 3
HISTOGRAM_MAX_US = 60_000_000


@dataclasses.dataclass(frozen=True)
class Mix:
    """Distribution of a stream of requests.

    Attributes:
      per_s: Mean number of requests a second.
      chats: Number of chats, each of several turns.
      skew: Exponent of the Zipf distribution over chats; 0 for equal shares.
      ranks: Share of each rank, the priority class; 0 is the highest.
      accounts: Share of each account.
    """

    per_s: float
    chats: int
    skew: float
    ranks: tuple[float, ...]
    accounts: dict[str, float]


def make_accounts(large: int = 2, small: int = 8) -> dict[str, float]:
    """Returns the shares of accounts; the large ones have 60% in total."""
    shares = {f"large-{i}": 0.6 / large for i in range(large)}
    shares.update({f"small-{i}": 0.4 / small for i in range(small)})
    return shares


@dataclasses.dataclass
class Chat:
    """A chat and the engine and prefix of its last complete turn.

    Attributes:
      busy: Whether a turn is waiting for its response.
    """

    name: str
    account: str
    text: str = ""
    busy: bool = False
    prefix_tokens: int = 0
    engine: str = ""


@dataclasses.dataclass(frozen=True)
class Sample:
    """Result of one request.

    Attributes:
      code: Error code and start of its message, or an exception's name.
      not_run: Whether the error said that the request was not executed.
      first_token_s: Time from sending to the first chunk, in seconds.
      gaps_s: Mean times between events, one for each later chunk, in seconds.
      ideal_cached_tokens: Prompt tokens that an unbounded cache would reuse.
      ended_at: Monotonic time in seconds.
    """

    request_id: str
    phase: str
    rank: int
    account: str
    status: int
    code: str
    not_run: bool
    complete: bool
    first_token_s: float
    gaps_s: tuple[float, ...]
    tokens: int
    cached_tokens: int
    ideal_cached_tokens: int
    ended_at: float


@dataclasses.dataclass
class Recorder:
    """Samples of a run."""

    samples: list[Sample] = dataclasses.field(default_factory=list)

    def select(self, phase: str = "", **fields: object) -> list[Sample]:
        """Returns samples by phase (empty for all) and by field values."""
        return [
            s
            for s in self.samples
            if (not phase or s.phase == phase)
            and all(getattr(s, k) == v for k, v in fields.items())
        ]


def summarize_ms(values_s: list[float]) -> dict[str, float]:
    """Returns p50, p95 and p99 in milliseconds."""
    latencies = histogram.HdrHistogram(1, HISTOGRAM_MAX_US, 3)
    for value in values_s:
        latencies.record_value(max(1, int(value * 1e6)))
    return {
        f"p{q}": round(latencies.get_value_at_percentile(q) / 1000, 1)
        for q in (50, 95, 99)
    }


class Load:
    """Sends a mix of requests to the routers in turn.

    Attributes:
      phase: Name that new samples are recorded under.
      departed_engines: Engines that have left the fleet.
    """

    def __init__(
        self,
        http: aiohttp.ClientSession,
        urls: list[str],
        model: str,
        seed: int,
        first_number: int = 0,
    ):
        self.recorder = Recorder()
        self.phase = ""
        self.departed_engines: set[str] = set()
        self._http = http
        self._urls = urls
        self._model = model
        self._random = random.Random(seed)
        self._request_count = first_number
        self._chat_count = first_number
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, mix: Mix, seconds: float) -> None:
        """Sends requests at random times without waiting for responses."""
        chats = [self._make_chat(mix) for _ in range(mix.chats)]
        weights = [1 / (i + 1) ** mix.skew for i in range(mix.chats)]
        send_at = time.monotonic()
        end_at = send_at + seconds
        while send_at < end_at:
            send_at += self._random.expovariate(mix.per_s)
            await asyncio.sleep(max(0.0, send_at - time.monotonic()))
            chat = self._choose(chats, weights)
            rank = self._random.choices(range(3), mix.ranks)[0]
            if chat is not None:
                self._start(chat, rank)

    def _choose(self, chats: list[Chat], weights: list[float]) -> Chat | None:
        """Returns a chat that is not busy, or None if 20 draws find none."""
        for _ in range(20):
            chat = self._random.choices(chats, weights)[0]
            if not chat.busy:
                return chat
        return None

    def _make_chat(self, mix: Mix) -> Chat:
        self._chat_count += 1
        names = list(mix.accounts)
        account = self._random.choices(names, list(mix.accounts.values()))[0]
        return Chat(f"chat-{self._chat_count}", account)

    def _start(self, chat: Chat, rank: int) -> None:
        chat.busy = True
        self._request_count += 1
        task = asyncio.create_task(self._send(chat, rank, self._request_count))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run_in_processes(
        self, mix: Mix, seconds: float, first_number: int
    ) -> None:
        """Sends a large mix from separate processes.

        Args:
          mix: What to send; its rate is divided among the processes.
          seconds: Duration of sending.
          first_number: Start of the request numbers, which makes the request
            ids of all mixes distinct.
        """
        sender_mix = dataclasses.replace(
            mix,
            per_s=mix.per_s / SENDER_PROCESSES,
            chats=mix.chats // SENDER_PROCESSES,
        )
        context = multiprocessing.get_context("spawn")
        loop = asyncio.get_running_loop()
        with futures.ProcessPoolExecutor(SENDER_PROCESSES, context) as pool:
            sender_results = [
                loop.run_in_executor(
                    pool,
                    send_from_process,
                    self._urls,
                    self._model,
                    self._random.getrandbits(30),
                    sender_mix,
                    seconds,
                    self.phase,
                    first_number + index * 1_000_000,
                )
                for index in range(SENDER_PROCESSES)
            ]
            for samples in await asyncio.gather(*sender_results):
                self.recorder.samples.extend(samples)

    async def drain(self) -> None:
        """Waits for all responses."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    async def _send(self, chat: Chat, rank: int, number: int) -> None:
        if len(chat.text) > CHAT_MAX_CHARS:
            self._chat_count += 1
            chat.name = f"chat-{self._chat_count}"
            chat.text, chat.prefix_tokens = "", 0
        message = f"{number:08d}" * (TURN_CHARS // 8)
        text = chat.text + message
        request_id = f"q{number}"
        phase = self.phase
        body = json.dumps(
            {
                "model": self._model,
                "messages": _make_messages(chat.text, message),
                "max_tokens": ANSWER_TOKENS * 2,
                "answer_tokens": ANSWER_TOKENS,
                "stream": True,
            }
        )
        headers = {
            "X-Client-Account": chat.account,
            "X-Request-Id": request_id,
            "X-Chat-Id": chat.name,
            "X-Work": RANKS[rank],
        }
        url = self._urls[number % len(self._urls)]
        # The cache of an engine that left cannot be reused by any placement.
        ideal = (
            0 if chat.engine in self.departed_engines else chat.prefix_tokens
        )
        sample, engine = await self._send_and_measure(
            url, headers, body, phase, rank, ideal
        )
        if sample.complete:
            chat.text = text + "a" * (ANSWER_TOKENS * CHARS_PER_TOKEN)
            chat.prefix_tokens = len(chat.text) // CHARS_PER_TOKEN
            chat.engine = engine
        chat.busy = False
        self.recorder.samples.append(sample)

    async def _send_and_measure(
        self,
        url: str,
        headers: dict[str, str],
        body: str,
        phase: str,
        rank: int,
        ideal: int,
    ) -> tuple[Sample, str]:
        started = time.monotonic()
        first_chunk_at, last_chunk_at, tokens = 0.0, 0.0, 0
        gaps: list[float] = []
        tail, status, code, cached, not_run = b"", 0, "", 0, False
        engine = ""
        try:
            async with self._http.post(
                f"{url}/v1/chat/completions", headers=headers, data=body
            ) as response:
                status = response.status
                engine = response.headers.get("X-Served-By", "")
                cached = int(response.headers.get("X-Cached-Tokens", 0))
                while chunk := await response.content.readany():
                    now = time.monotonic()
                    events = chunk.count(b"\n\n")
                    if not first_chunk_at:
                        first_chunk_at = now
                    elif events:
                        gaps.append((now - last_chunk_at) / events)
                    last_chunk_at = now
                    tokens += events
                    tail = (tail + chunk)[-400:]
            if status != 200:
                error = json.loads(tail)["error"]
                code = f"{error['code']}: {error['message'].split('(')[0][:40]}"
                not_run = error["not_run"]
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            code = type(error).__name__
        complete = status == 200 and tail.endswith(b"data: [DONE]\n\n")
        sample = Sample(
            headers["X-Request-Id"],
            phase,
            rank,
            headers["X-Client-Account"],
            status,
            code,
            not_run,
            complete,
            first_chunk_at - started,
            tuple(gaps),
            max(0, tokens - 2) if complete else 0,
            cached if complete else 0,
            ideal if complete else 0,
            time.monotonic(),
        )
        return sample, engine


def _make_messages(history: str, message: str) -> list[dict[str, str]]:
    """Returns the chat history, if any, followed by the new message."""
    messages = [{"role": "user", "content": message}]
    if history:
        messages.insert(0, {"role": "assistant", "content": history})
    return messages


def compute_reuse(samples: list[Sample]) -> float:
    """Returns reused prefix tokens as a share of those reusable ideally."""
    ideal = sum(s.ideal_cached_tokens for s in samples)
    return sum(s.cached_tokens for s in samples) / ideal if ideal else 1.0


def count_codes(samples: list[Sample]) -> dict[str, int]:
    """Returns the number of samples by error code; `ok` without one."""
    return dict(collections.Counter(s.code or "ok" for s in samples))


def send_from_process(
    urls: list[str],
    model: str,
    seed: int,
    mix: Mix,
    seconds: float,
    phase: str,
    first_number: int,
) -> list[Sample]:
    """Sends a mix on a new event loop; entry point of a sender process."""
    return uvloop.run(
        _send_from_process(urls, model, seed, mix, seconds, phase, first_number)
    )


async def _send_from_process(
    urls: list[str],
    model: str,
    seed: int,
    mix: Mix,
    seconds: float,
    phase: str,
    first_number: int,
) -> list[Sample]:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as http:
        sender = Load(http, urls, model, seed, first_number)
        sender.phase = phase
        await sender.run(mix, seconds)
        await sender.drain()
        return sender.recorder.samples
