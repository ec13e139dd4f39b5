"""Stand-in for a model engine with continuous batching and a prefix cache.

The text of a response depends only on the last message, so that any engine
can continue a broken stream.

Faults: `cut_after` (one stream is aborted after this many events), `cross`
and `cross_event` (numbers of responses that carry the id of another request
in their headers, or in their events), `stall_ms` (delay before the first
token), `late_ms` (delay before a request is accepted), `draining`, `refuse`
(every request is rejected with 503).
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import json
import time
import zlib

from aiohttp import web

from standins import runner

ORPHAN_TIMEOUT_S = 8.0
DEFAULT_ANSWER_TOKENS = 16
CHARS_PER_TOKEN = 4


@dataclasses.dataclass
class Generation:
    """A request that the engine has accepted.

    Attributes:
      prefill_remaining: Prompt tokens still to be processed.
      token_prefix: Start of each token, derived from the last message.
      offset: Index of the first token that this engine generates.
      tokens: Tokens generated so far.
      disconnected_at: When the last stream ended; 0 if none has ended.
      changed: Set, and then replaced, when tokens are added or the
        generation ends.
    """

    request_id: str
    priority: int
    prefix_key: str
    token_prefix: str
    prompt_tokens: int
    cached_tokens: int
    prefill_remaining: float
    answer_tokens: int
    offset: int
    arrived_at: float
    stream_id: str
    tokens: list[str] = dataclasses.field(default_factory=list)
    running: bool = False
    open_streams: int = 0
    disconnected_at: float = 0.0
    cancelled: bool = False
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def finished(self) -> bool:
        """Tells whether all tokens have been generated."""
        return self.offset + len(self.tokens) >= self.answer_tokens

    def notify_streams(self) -> None:
        """Notifies the streams that wait on `changed`."""
        self.changed.set()
        self.changed = asyncio.Event()


class Engine:
    """Batches requests, caches prefixes and records its runs."""

    def __init__(self, arguments):
        self.faults = runner.Faults()
        self._name = arguments.name
        self._batch = arguments.batch
        self._step_s = arguments.step_ms / 1000
        self._prefill_per_s = arguments.prefill_per_s
        self._max_cached_tokens = arguments.cache_tokens
        self._active: dict[str, Generation] = {}
        self._cache: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._cached_tokens = 0
        self._loads: list[tuple[float, int]] = [(time.monotonic(), 0)]
        self._received_count = 0
        self._peak_active = 0
        self._runs: list[dict] = []
        self._load_s = arguments.load_ms / 1000
        self._ignores_fence = arguments.ignores_fence
        self._state = {"version": "", "adapters": [], "role": "", "fence": 0}
        self._loading_until = 0.0
        self._orders: list[dict] = []

    def make_app(self) -> web.Application:
        """Returns the application."""
        app = web.Application(client_max_size=8 << 20)
        app.router.add_post("/v1/chat/completions", self._serve)
        app.router.add_delete("/v1/requests/{id}", self._cancel)
        app.router.add_get("/state", self._show_state)
        app.router.add_post("/orders", self._handle_order)
        app.router.add_get("/record", self._show_record)
        runner.add_faults(app, self.faults)
        app.on_startup.append(self._start)
        return app

    async def _start(self, _: web.Application) -> None:
        self._loop_task = asyncio.create_task(self._run_steps())

    # Batching.

    async def _run_steps(self) -> None:
        while True:
            await asyncio.sleep(self._step_s)
            self._fill_batch()
            self._step()
            self._remove_orphans()

    def _fill_batch(self) -> None:
        """Runs the requests of highest priority, oldest first."""
        ordered = sorted(
            self._active.values(), key=lambda g: (g.priority, g.arrived_at)
        )
        for index, generation in enumerate(ordered):
            generation.running = index < self._batch

    def _step(self) -> None:
        budget = self._prefill_per_s * self._step_s
        for generation in list(self._active.values()):
            if not generation.running or generation.finished:
                continue
            if generation.prefill_remaining > 0:
                used = min(budget, generation.prefill_remaining)
                generation.prefill_remaining -= used
                budget -= used
                continue
            index = generation.offset + len(generation.tokens)
            generation.tokens.append(f"{generation.token_prefix}{index} ")
            generation.notify_streams()
            if generation.finished:
                self._finish(generation)

    def _remove_orphans(self) -> None:
        now = time.monotonic()
        for generation in list(self._active.values()):
            is_orphaned = (
                generation.open_streams == 0 and generation.disconnected_at
            )
            if (
                is_orphaned
                and now - generation.disconnected_at > ORPHAN_TIMEOUT_S
            ):
                self._remove(generation)

    def _finish(self, generation: Generation) -> None:
        total = generation.prompt_tokens + generation.answer_tokens
        self._store_prefix(generation.prefix_key, total)
        if generation.open_streams == 0:
            return
        self._remove(generation)

    def _remove(self, generation: Generation) -> None:
        if self._active.get(generation.request_id) is generation:
            del self._active[generation.request_id]
            self._record_load()
        generation.notify_streams()

    def _record_load(self) -> None:
        self._peak_active = max(self._peak_active, len(self._active))
        self._loads.append((time.monotonic(), len(self._active)))

    # Prefix cache.

    def _store_prefix(self, prefix_key: str, tokens: int) -> None:
        if not prefix_key:
            return
        self._cached_tokens += tokens - self._cache.pop(prefix_key, 0)
        self._cache[prefix_key] = tokens
        while self._cached_tokens > self._max_cached_tokens and self._cache:
            _, size = self._cache.popitem(last=False)
            self._cached_tokens -= size

    # Requests.

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        data = await request.json()
        self._received_count += 1
        await asyncio.sleep(self.faults.get_number("late_ms") / 1000)
        if self.faults.get("draining"):
            return web.Response(status=503, headers={"X-Draining": "1"})
        if self.faults.get("refuse"):
            return web.Response(status=503)
        generation = self._get_or_start(request, data)
        first_index = int(request.headers.get("X-Resume-Offset", 0))
        request_id = generation.request_id
        if self.faults.consume("cross"):
            request_id = "of-another-request"
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Request-Id": request_id,
                "X-Cached-Tokens": str(generation.cached_tokens),
            }
        )
        generation.open_streams += 1
        try:
            await response.prepare(request)
            stall_ms = self.faults.get_number("stall_ms")
            await asyncio.sleep(stall_ms / 1000)
            return await self._write_stream(
                request, response, generation, first_index
            )
        finally:
            generation.open_streams -= 1
            generation.disconnected_at = time.monotonic()

    def _get_or_start(self, request: web.Request, data: dict) -> Generation:
        """Returns the active generation of a request, or starts one."""
        request_id = request.headers["X-Request-Id"]
        stream_id = request.headers.get("X-Stream-Id", "")
        active = self._active.get(request_id)
        if active is not None:
            active.stream_id = stream_id
            return active
        prefix_key = request.headers.get("X-Prefix-Key", "")
        continuation = data.get("continue", {})
        chars = sum(len(m["content"]) for m in data["messages"])
        chars += len(continuation.get("text", ""))
        prompt_tokens = chars // CHARS_PER_TOKEN
        cached_tokens = min(self._cache.get(prefix_key, 0), prompt_tokens)
        if prefix_key in self._cache:
            self._cache.move_to_end(prefix_key)
        requested_tokens = data.get("answer_tokens", DEFAULT_ANSWER_TOKENS)
        last_message = data["messages"][-1]["content"].encode()
        generation = Generation(
            request_id=request_id,
            priority=int(request.headers.get("X-Priority", 1)),
            prefix_key=prefix_key,
            token_prefix=f"w{zlib.crc32(last_message) % 1000:03d}-",
            prompt_tokens=prompt_tokens,
            cached_tokens=cached_tokens,
            prefill_remaining=prompt_tokens - cached_tokens,
            answer_tokens=min(requested_tokens, data["max_tokens"]),
            offset=int(continuation.get("events", 0)),
            arrived_at=time.monotonic(),
            stream_id=stream_id,
        )
        self._active[request_id] = generation
        self._record_load()
        self._runs.append(
            {
                "request_id": request_id,
                "prefix_key": prefix_key,
                "prompt_tokens": prompt_tokens,
                "cached_tokens": cached_tokens,
                "offset": generation.offset,
                "priority": generation.priority,
                "load": len(self._active),
                "at": time.monotonic(),
            }
        )
        return generation

    async def _write_stream(
        self,
        request: web.Request,
        response: web.StreamResponse,
        generation: Generation,
        first_index: int,
    ) -> web.StreamResponse:
        request_id = generation.request_id
        if self.faults.consume("cross_event"):
            request_id = "of-another-request"
        index = first_index
        while True:
            changed = generation.changed
            new_tokens = generation.tokens[index - generation.offset :]
            if new_tokens:
                await response.write(
                    _encode_events(request_id, index, new_tokens)
                )
                index += len(new_tokens)
                cut_after = self.faults.get_number("cut_after")
                if cut_after and index >= cut_after:
                    self.faults["cut_after"] = 0
                    if request.transport is not None:
                        request.transport.abort()
                    return response
            if index >= generation.answer_tokens:
                break
            if generation.cancelled:
                return response
            await changed.wait()
        usage = {
            "prompt_tokens": generation.prompt_tokens,
            "completion_tokens": generation.answer_tokens,
            "cached_tokens": generation.cached_tokens,
        }
        end = {
            "id": request_id,
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
            "usage": usage,
        }
        tail = f"id: {index}\ndata: {json.dumps(end)}\n\ndata: [DONE]\n\n"
        await response.write(tail.encode())
        await response.write_eof()
        self._remove(generation)
        return response

    async def _cancel(self, request: web.Request) -> web.Response:
        generation = self._active.get(request.match_info["id"])
        stream_id = request.headers.get("X-Stream-Id", "")
        if generation is not None and stream_id in ("", generation.stream_id):
            generation.cancelled = True
            self._remove(generation)
        return web.Response(status=204)

    # Orders.

    async def _show_state(self, _: web.Request) -> web.Response:
        loading = time.monotonic() < self._loading_until
        return web.json_response({**self._state, "loading": loading})

    async def _handle_order(self, request: web.Request) -> web.Response:
        order = await request.json()
        highest_fence = self._state["fence"]
        if order["fence"] < highest_fence and not self._ignores_fence:
            return web.Response(status=409, text=str(highest_fence))
        self._state["fence"] = max(highest_fence, order["fence"])
        self._orders.append({**order, "at": time.monotonic()})
        argument = order["argument"]
        match order["action"]:
            case "load":
                self._state["version"] = argument
            case "add_adapter":
                self._state["adapters"].append(argument)
            case "drop_adapter":
                self._state["adapters"].remove(argument)
            case "set_role":
                self._state["role"] = argument
        if order["action"] in ("load", "add_adapter"):
            self._loading_until = time.monotonic() + self._load_s
        return web.Response()

    async def _show_record(self, _: web.Request) -> web.Response:
        return web.json_response(
            {
                "name": self._name,
                "arrived": self._received_count,
                "peak": self._peak_active,
                "running": len(self._active),
                "runs": self._runs,
                "loads": self._loads,
                "orders": self._orders,
            }
        )


def _encode_events(
    request_id: str, first_index: int, tokens: list[str]
) -> bytes:
    parts = []
    for index, token in enumerate(tokens, first_index):
        choice = {"index": 0, "delta": {"content": token}}
        payload = json.dumps({"id": request_id, "choices": [choice]})
        parts.append(f"id: {index}\ndata: {payload}\n\n")
    return "".join(parts).encode()


def main() -> None:
    """Runs the stand-in."""
    parser = runner.make_parser("model engine")
    parser.add_argument("--batch", type=int, default=16)
    parser.add_argument("--step-ms", type=float, default=10.0)
    parser.add_argument("--prefill-per-s", type=float, default=8000.0)
    parser.add_argument("--cache-tokens", type=int, default=200_000)
    parser.add_argument("--load-ms", type=float, default=300.0)
    parser.add_argument("--ignores-fence", action="store_true")
    arguments = parser.parse_args()
    runner.run(Engine(arguments).make_app(), arguments)


if __name__ == "__main__":
    main()
