"""The home of engines: admits, queues and relays their requests."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import Callable
from collections.abc import Coroutine
import logging
import math
import time
from typing import Any
import uuid

import aiohttp
import cachetools

from agatedock import answers
from agatedock import calls
from agatedock import explain
from agatedock import fleet
from agatedock import gate
from agatedock import homes
from agatedock import logs
from agatedock import members
from agatedock import placement
from agatedock import settings
from agatedock import upstreams
from agatedock import view
from agatedock import wire

# How long an engine keeps a stream whose entry router went away.
RESUME_GRACE_S = 2.0
DIVERTS_MAX = 3
# Standard deviations by which the mean load may have fallen unseen.
MEAN_MARGIN = 1.0
SHED_PERIOD_S = 1.0
TOKENS_HEADER = "X-Cached-Tokens"
STREAM_HEADER = "X-Stream-Id"

_log = logging.getLogger(__name__)


class EngineStream:
    """An open answer of an engine.

    Attributes:
      engine: Name of the engine.
      cached_tokens: Prefix that the engine found in its cache.
    """

    def __init__(
        self,
        home: Home,
        call: calls.ChatCall,
        response: aiohttp.ClientResponse,
        stream_id: str,
        run: gate.Run | None,
    ):
        self.engine = call.engine
        self.cached_tokens = int(response.headers.get(TOKENS_HEADER, 0))
        self._home = home
        self._call = call
        self._response = response
        self._stream_id = stream_id
        self._run = run

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yields what has arrived; raises aiohttp.ClientError on a cut."""
        ended = False
        events = 0
        try:
            while chunk := await self._response.content.readany():
                events += chunk.count(b"\n\n")
                yield chunk
            ended = True
            if self._run is not None and self._run.preempted:
                yield answers.PREEMPTED_EVENT + answers.EVENT_END
        finally:
            # The end mark counts as an event but not as a token.
            self._home.end(
                self._call, self._stream_id, max(0, events - 1), ended
            )
            self._response.close()


class Home:
    """State and conduct of this router as the home of engines."""

    def __init__(
        self,
        config: settings.Settings,
        table: members.Table,
        in_force: view.View,
        known: upstreams.View,
        records: explain.Records,
        client: aiohttp.ClientSession,
        is_paused: Callable[[float], bool],
        note_leaving: Callable[[str, bool], None],
    ):
        self.gates: dict[str, gate.Gate] = {}
        self.diversions: cachetools.TTLCache[str, str] = cachetools.TTLCache(
            config.home.diversions_max, config.home.diversion_ttl_ms / 1000
        )
        self.prefixes: cachetools.LRUCache[tuple[str, str], int] = (
            cachetools.LRUCache(config.home.diversions_max)
        )
        self.streams = 0
        self._config = config
        self._table = table
        self._view = in_force
        self._upstreams = known
        self._records = records
        self._client = client
        self._is_paused = is_paused
        self._note_leaving = note_leaving
        self._timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=config.limits.connect_timeout_ms / 1000,
            sock_read=config.limits.upstream_silence_ms / 1000,
        )
        self._version = 0
        self._tasks: set[asyncio.Task[None]] = set()

    # Which engines are this router's.

    def find_home(self, engine: str) -> members.Member | None:
        """Returns the home of an engine in this router's view."""
        known = self._upstreams.upstreams.get(engine)
        if known is None:
            return None
        return homes.choose(
            engine, known.listed.failure_domain, self._table.list_up()
        )

    def refresh(self, now: float) -> list[tuple[str, members.Member]]:
        """Opens and closes gates after a change of members or upstreams.

        Returns:
          Engines that another router is now the home of, with that router.
        """
        models = {model.name for model in self._view.document.models}
        lost = []
        for engine, known in self._upstreams.upstreams.items():
            if known.listed.service not in models:
                continue
            owner = self.find_home(engine)
            if owner is None:
                continue
            if owner.name == self._table.own.name:
                self._open_gate(engine, now)
            elif engine in self.gates:
                lost.append((engine, owner))
        return lost

    def _open_gate(self, engine: str, now: float) -> None:
        if engine in self.gates:
            return
        shares = tuple(r.floor_share for r in self._view.document.ranks)
        opened = gate.Gate(engine, shares)
        opened.open_from = now + self._config.home.quiet_ms / 1000
        self.gates[engine] = opened
        logs.event(_log, "home_taken", engine=engine)

    def close_gate(self, engine: str) -> gate.Gate | None:
        """Gives an engine up; its queued requests look for the new home."""
        closed = self.gates.pop(engine, None)
        if closed is None:
            return None
        for waiting in closed.queue.drain():
            _resolve(waiting.ticket, calls.Outcome.NOT_HOME)
        logs.event(_log, "home_given_up", engine=engine)
        return closed

    def take_over(
        self, engine: str, running: int, diversions: dict[str, str], now: float
    ) -> bool:
        """Takes in what the former home of an engine hands over."""
        self.diversions.update(diversions)
        taken = self.gates.get(engine)
        if taken is None:
            self.refresh(now)
            taken = self.gates.get(engine)
        if taken is None:
            return False
        # The former home has stopped admitting, so there is no need to wait.
        taken.foreign = max(taken.foreign, running)
        taken.open_from = min(taken.open_from, now)
        self._pump(taken)
        return True

    def distrust(self, now: float) -> None:
        """Closes all engines for a while after a pause of this process."""
        for held in self.gates.values():
            held.open_from = now + self._config.home.quiet_ms / 1000

    def list_diversions(self, engine: str, most: int) -> dict[str, str]:
        """Returns remembered diversions to hand over with an engine."""
        chosen: dict[str, str] = {}
        for chat, target in list(self.diversions.items()):
            if len(chosen) >= most:
                break
            if self._is_first_choice(chat, engine):
                chosen[chat] = target
        return chosen

    def _is_first_choice(self, chat: str, engine: str) -> bool:
        known = self._upstreams.upstreams.get(engine)
        if known is None:
            return False
        candidates = self._list_candidates(known.listed.service, ())
        names = placement.order(chat, candidates)
        return bool(names) and names[0] == engine

    # Load and limits.

    def mean_load(self, model: str) -> float:
        """Returns the mean load of a model's engines over the fleet."""
        engines = load = 0
        for item in self._list_loads(model):
            engines += item.engines
            load += item.load
        return load / engines if engines else 0.0

    def _low_mean_load(self, model: str) -> float:
        """Returns a mean that the true one is rarely below.

        The loads of other homes are some tenths of a second old; meanwhile
        the total moves by about its square root.
        """
        engines = load = 0
        for item in self._list_loads(model):
            engines += item.engines
            # Queued requests count: else engines at their bound would keep
            # the mean, and with it their bound, from growing with demand.
            load += item.load + item.waiting
        if not engines:
            return 0.0
        return max(0.0, load - MEAN_MARGIN * math.sqrt(load)) / engines

    def _list_loads(self, model: str) -> list[wire.ModelLoad]:
        own = [i for i in self.describe_loads() if i.model == model]
        others = [
            item
            for member in self._table.list_up()
            if member.name != self._table.own.name and member.state
            for item in member.state.loads
            if item.model == model
        ]
        return own + others

    def describe_loads(self) -> tuple[wire.ModelLoad, ...]:
        """Returns the load of this home's engines by model."""
        by_model: dict[str, list[gate.Gate]] = {}
        for engine, held in self.gates.items():
            known = self._upstreams.upstreams.get(engine)
            if known is not None and not known.leaving:
                by_model.setdefault(known.listed.service, []).append(held)
        return tuple(
            _sum_up(model, held) for model, held in sorted(by_model.items())
        )

    def describe_own(self) -> wire.StateItem:
        """Returns what this router says of itself to its peers."""
        self._version += 1
        return wire.StateItem(
            name=self._table.own.name,
            incarnation=self._table.own.incarnation,
            version=self._version,
            revision=self._view.revision,
            loads=self.describe_loads(),
        )

    def _limits(self, model: str) -> gate.Limits:
        bound = gate.compute_bound(
            self._setting("load_bound", model),
            self._low_mean_load(model),
            self._setting("load_bound_floor", model),
        )
        return gate.Limits(bound, self._setting("engine_slots", model))

    def _setting(self, key: str, model: str):
        scope = fleet.Match(model=model)
        return fleet.resolve(self._view.document, key, scope, _wall_ms()).value

    def _is_settled(self, now: float) -> bool:
        """Tells whether routers have agreed on members for long enough."""
        quiet_s = self._config.home.quiet_ms / 1000
        suspects = any(
            m.status == wire.Status.SUSPECT
            for m in self._table.members.values()
        )
        return not suspects and now - self._table.changed_at > quiet_s

    def _list_candidates(
        self, model: str, excluded: tuple[str, ...]
    ) -> list[placement.Candidate]:
        live = self._upstreams.list_live(model, time.monotonic())
        loads = self._average_loads(model)
        return [
            placement.Candidate(u.name, self._find_load(u.name, loads))
            for u in live
            if u.name not in excluded
        ]

    def _average_loads(self, model: str) -> dict[str, float]:
        """Returns the mean load of a model's engines for each home."""
        averages = {}
        for member in self._table.list_up():
            for item in member.state.loads if member.state else ():
                if item.model == model and item.engines:
                    total = item.load + item.waiting
                    averages[member.name] = total / item.engines
        return averages

    def _find_load(self, engine: str, averages: dict[str, float]) -> float:
        own = self.gates.get(engine)
        if own is not None:
            return own.load() + len(own.queue)
        home = self.find_home(engine)
        return averages.get(home.name, 0.0) if home else 0.0

    def list_candidates(
        self, model: str, excluded: tuple[str, ...]
    ) -> list[placement.Candidate]:
        """Returns the live engines of a model with their best known load."""
        return self._list_candidates(model, excluded)

    # Requests.

    async def open(self, call: calls.ChatCall) -> EngineStream | calls.Verdict:
        """Runs a request on its engine or says where else it should go."""
        now = time.monotonic()
        owner = self.find_home(call.engine)
        held = self.gates.get(call.engine)
        if held is None or owner is None:
            return _turn(call, calls.Outcome.NOT_HOME, "not the home")
        if owner.name != self._table.own.name:
            return _turn(call, calls.Outcome.NOT_HOME, f"home is {owner.name}")
        if self._is_paused(now):
            return _turn(call, calls.Outcome.NOT_HOME, "was paused")
        return await self._admit(call, held, now)

    async def _admit(
        self, call: calls.ChatCall, held: gate.Gate, now: float
    ) -> EngineStream | calls.Verdict:
        target = self._recall_diversion(call, now)
        if target is not None:
            return _turn(
                call, calls.Outcome.DIVERT, "chat was diverted before", target
            )
        known = self._upstreams.find_live(call.engine, now)
        others = self._list_candidates(
            call.model, (*call.excluded, call.engine)
        )
        can_divert = (
            call.may_divert
            and bool(others)
            and len(call.excluded) < DIVERTS_MAX
        )
        if known is None:
            return self._divert(call, others, "engine leaves or is held back")
        decision = held.decide(
            call,
            self._limits(call.model),
            self._is_settled(now),
            self.prefixes.get((call.engine, call.chat), 0),
            can_divert,
            now,
        )
        self._records.add(
            call.request_id, decision.choice.value, call.engine, decision.reason
        )
        if decision.choice == gate.Choice.DIVERT:
            return self._divert(call, others, decision.reason)
        if decision.choice == gate.Choice.REFUSE:
            return calls.Verdict(
                calls.Outcome.REFUSED,
                call.engine,
                decision.reason,
                max(100, int(decision.wait_s * 1000)),
            )
        if decision.choice == gate.Choice.PREEMPT:
            self._preempt(call, held, known)
        if decision.choice != gate.Choice.RUN:
            turned = await self._wait_turn(call, held)
            if turned is not None:
                return turned
        else:
            held.start(call, now, queued=False)
        return await self._send(call, held, known)

    def _recall_diversion(self, call: calls.ChatCall, now: float) -> str | None:
        """Returns the engine that a chat went to last, if it still may."""
        if call.diverted or not call.may_divert:
            return None
        target = self.diversions.get(call.chat)
        if target is None or target == call.engine:
            return None
        if target in call.excluded:
            return None
        return target if self._upstreams.find_live(target, now) else None

    def _divert(
        self,
        call: calls.ChatCall,
        others: list[placement.Candidate],
        reason: str,
    ) -> calls.Verdict:
        if call.diverted:
            # The home that diverted the chat chooses again and remembers.
            return _turn(call, calls.Outcome.DIVERT, reason, "")
        target = placement.choose_diversion(call.chat, others)
        if target is None:
            return calls.Verdict(
                calls.Outcome.REFUSED, call.engine, "no engine is left", 1000
            )
        self.diversions[call.chat] = target
        return _turn(call, calls.Outcome.DIVERT, reason, target)

    def _preempt(
        self,
        call: calls.ChatCall,
        held: gate.Gate,
        known: upstreams.Upstream,
    ) -> None:
        """Tells the engine to stop a run; its end frees the slot."""
        limits = self._limits(call.model)
        victim = held.choose_victim(call.rank, limits)
        if victim is None:
            return
        victim.preempted = True
        self._records.add(
            victim.call.request_id, "preempt", call.engine, call.request_id
        )
        self._keep(self._cancel_on_engine(known, victim.call.request_id, ""))

    def _keep(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs work beside the requests."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _wait_turn(
        self, call: calls.ChatCall, held: gate.Gate
    ) -> calls.Verdict | None:
        """Waits in the queue; returns None once the request may be sent."""
        ticket: asyncio.Future[calls.Outcome | None]
        ticket = asyncio.get_running_loop().create_future()
        waiting = held.enqueue(call, ticket)
        left_s = max(0.0, call.deadline - time.monotonic())
        try:
            outcome = await asyncio.wait_for(asyncio.shield(ticket), left_s)
        except TimeoutError:
            if ticket.done() and ticket.result() is None:
                return None
            held.abandon(waiting)
            return calls.Verdict(
                calls.Outcome.REFUSED,
                call.engine,
                "target passed in the queue",
                int(held.expect_wait_s(call) * 1000) + 100,
            )
        except asyncio.CancelledError:
            if ticket.done():
                self._forget_run(held, call, 0)
            else:
                held.abandon(waiting)
            raise
        if outcome is not None:
            return _turn(call, outcome, "the engine got another home")
        return None

    def _pump(self, held: gate.Gate) -> None:
        """Sends queued requests for which there is room."""
        known = self._upstreams.upstreams.get(held.engine)
        now = time.monotonic()
        if known is None or self._is_paused(now):
            return
        if known.leaving:
            for waiting in held.queue.drain():
                _resolve(waiting.ticket, calls.Outcome.NOT_HOME)
            return
        limits = self._limits(known.listed.service)
        settled = self._is_settled(now)
        while ready := held.pop_ready(limits, settled, now):
            if ready.ticket.done():
                continue
            held.start(ready.call, now, queued=True)
            _resolve(ready.ticket, None)

    async def _send(
        self,
        call: calls.ChatCall,
        held: gate.Gate,
        known: upstreams.Upstream,
    ) -> EngineStream | calls.Verdict:
        """Sends an admitted request to its engine."""
        stream_id = uuid.uuid4().hex
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": call.request_id,
            "X-Priority": str(call.rank),
            "X-Prefix-Key": call.chat,
            "X-Resume-Offset": str(call.offset),
            STREAM_HEADER: stream_id,
        }
        try:
            response = await self._client.post(
                f"{known.url}/v1/chat/completions",
                data=call.body,
                headers=headers,
                timeout=self._timeout,
            )
        except aiohttp.ClientConnectorError as error:
            return self._fail(call, held, f"no connection: {error}", True)
        except (aiohttp.ClientError, TimeoutError) as error:
            return self._fail(call, held, f"no answer: {error!r}", False)
        except asyncio.CancelledError:
            self._linger_later(call, held, stream_id)
            raise
        if response.status != 200:
            return self._take_status(call, held, response)
        held.take_result(True, time.monotonic())
        stream = EngineStream(
            self, call, response, stream_id, held.runs.get(call.request_id)
        )
        self.streams += 1
        self.prefixes[(call.engine, call.chat)] = call.prompt_tokens
        return stream

    def _take_status(
        self,
        call: calls.ChatCall,
        held: gate.Gate,
        response: aiohttp.ClientResponse,
    ) -> calls.Verdict:
        """Handles an engine's refusal, which means that it ran nothing."""
        response.close()
        if response.headers.get("X-Draining"):
            held.draining = True
            self._note_leaving(call.engine, True)
        return self._fail(call, held, f"status {response.status}", True)

    def _fail(
        self, call: calls.ChatCall, held: gate.Gate, reason: str, not_run: bool
    ) -> calls.Verdict:
        now = time.monotonic()
        self._forget_run(held, call, 0)
        held.take_result(False, now)
        logs.event(
            _log,
            "engine_failed",
            logging.WARNING,
            engine=call.engine,
            request_id=call.request_id,
            problem=reason,
        )
        return calls.Verdict(
            calls.Outcome.FAILED, call.engine, reason, not_run=not_run
        )

    def end(
        self, call: calls.ChatCall, stream_id: str, tokens: int, ended: bool
    ) -> None:
        """Counts a stream as ended, or keeps it a while for a resumption."""
        self.streams -= 1
        held = self.gates.get(call.engine)
        if held is None:
            return
        if ended:
            self._forget_run(held, call, tokens)
        else:
            self._linger_later(call, held, stream_id)

    def _forget_run(
        self, held: gate.Gate, call: calls.ChatCall, tokens: int
    ) -> None:
        held.finish(call.request_id, tokens, time.monotonic())
        self._pump(held)

    def _linger_later(
        self, call: calls.ChatCall, held: gate.Gate, stream_id: str
    ) -> None:
        run = held.runs.get(call.request_id)
        self._keep(self._linger(call, held, stream_id, run))

    async def _linger(
        self,
        call: calls.ChatCall,
        held: gate.Gate,
        stream_id: str,
        run: gate.Run | None,
    ) -> None:
        """Waits for a resumption, then tells the engine to stop."""
        await asyncio.sleep(RESUME_GRACE_S)
        known = self._upstreams.upstreams.get(call.engine)
        if known is not None:
            await self._cancel_on_engine(known, call.request_id, stream_id)
        if run is not None and held.runs.get(call.request_id) is run:
            self._forget_run(held, call, 0)

    async def cancel(self, engine: str, request_id: str) -> None:
        """Stops a request whose caller has left."""
        held = self.gates.get(engine)
        known = self._upstreams.upstreams.get(engine)
        if held is None or known is None or request_id not in held.runs:
            return
        await self._cancel_on_engine(known, request_id, "")
        run = held.runs.get(request_id)
        if run is not None:
            self._forget_run(held, run.call, 0)

    async def _cancel_on_engine(
        self, known: upstreams.Upstream, request_id: str, stream_id: str
    ) -> None:
        """Orders a cancel; a stream id limits it to that connection."""
        try:
            async with self._client.delete(
                f"{known.url}/v1/requests/{request_id}",
                headers={STREAM_HEADER: stream_id},
                timeout=aiohttp.ClientTimeout(total=1.0),
            ):
                pass
        except (aiohttp.ClientError, TimeoutError):
            # The engine drops silent streams by itself.
            return

    # Engines' own reports.

    def take_report(
        self, engine: str, running: int, draining: bool, now: float
    ) -> None:
        """Takes in an engine's load report."""
        held = self.gates.get(engine)
        if held is None:
            return
        held.take_report(running, draining, now)
        self._note_leaving(engine, draining)
        self._pump(held)

    def take_cache_event(self, engine: str, chat: str, tokens: int) -> None:
        """Takes in how much of a chat an engine holds; 0 if evicted."""
        if tokens:
            self.prefixes[(engine, chat)] = tokens
        else:
            self.prefixes.pop((engine, chat), None)

    def take_failure(self, engine: str, now: float) -> None:
        """Takes in that an engine's load could not be read."""
        held = self.gates.get(engine)
        if held is not None:
            held.take_result(False, now)

    async def run_shedding(self) -> None:
        """Updates published pressure until cancelled."""
        while True:
            await asyncio.sleep(SHED_PERIOD_S)
            for held in list(self.gates.values()):
                held.update_shed()
                self._pump(held)

    def count_work(self) -> int:
        """Returns the answers that pass through and the requests queued."""
        queued = sum(len(held.queue) for held in self.gates.values())
        return self.streams + queued


def _resolve(
    ticket: asyncio.Future[calls.Outcome | None],
    outcome: calls.Outcome | None,
) -> None:
    if not ticket.done():
        ticket.set_result(outcome)


def _turn(
    call: calls.ChatCall,
    outcome: calls.Outcome,
    reason: str,
    engine: str | None = None,
) -> calls.Verdict:
    target = call.engine if engine is None else engine
    return calls.Verdict(outcome, target, reason)


def _sum_up(model: str, held: list[gate.Gate]) -> wire.ModelLoad:
    ranks = range(len(held[0].shed))
    return wire.ModelLoad(
        model,
        len(held),
        sum(g.load() for g in held),
        sum(len(g.queue) for g in held),
        tuple(
            int(sum(g.shed[rank] for g in held) / len(held) * 1000)
            for rank in ranks
        ),
    )


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000
