"""Requests at the home of their engine: admitted, queued, sent, cancelled."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import logging
import time
from typing import Any
import uuid

from agatedock import calls
from agatedock import enginecall
from agatedock import explain
from agatedock import gate
from agatedock import holdings
from agatedock import homes
from agatedock import loads
from agatedock import logs
from agatedock import placement
from agatedock import upstreams

# How long an engine keeps a stream whose entry router went away.
RESUME_GRACE_S = 2.0
DIVERTS_MAX = 3
SHED_PERIOD_S = 1.0
NO_ENGINE_RETRY_MS = 1000
RETRY_MIN_MS = 100

_log = logging.getLogger(__name__)


class Home:
    """Conduct of this router as the home of engines.

    Attributes:
      streams: Answers that pass through this home.
    """

    def __init__(
        self,
        own_name: str,
        held: holdings.Holdings,
        known: upstreams.View,
        home_map: homes.Map,
        known_loads: loads.Loads,
        engines: enginecall.EngineClient,
        records: explain.Records,
        is_paused: Callable[[float], bool],
        note_leaving: Callable[[str, bool], None],
    ):
        self.streams = 0
        self._own_name = own_name
        self._holdings = held
        self._upstreams = known
        self._homes = home_map
        self._loads = known_loads
        self._engines = engines
        self._records = records
        self._is_paused = is_paused
        self._note_leaving = note_leaving
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(
        self, call: calls.ChatCall
    ) -> enginecall.EngineStream | calls.Verdict:
        """Runs a request on its engine or says where else it should go."""
        now = time.monotonic()
        held = self._holdings.gates.get(call.engine)
        owner = self._homes.find(call.engine)
        if held is None or owner is None:
            return _turn(call, calls.Outcome.NOT_HOME, "not the home")
        if owner.name != self._own_name:
            return _turn(call, calls.Outcome.NOT_HOME, f"home is {owner.name}")
        if self._is_paused(now):
            return _turn(call, calls.Outcome.NOT_HOME, "was paused")
        target = self._holdings.recall_diversion(call, now)
        if target is not None:
            reason = "chat was diverted before"
            return _turn(call, calls.Outcome.DIVERT, reason, target)
        older = self._holdings.find_older(call, now)
        if older is not None:
            self._holdings.diversions[call.chat] = older
            reason = "an older engine has the prefix"
            return _turn(call, calls.Outcome.DIVERT, reason, older)
        return await self._admit(call, held, now)

    async def _admit(
        self, call: calls.ChatCall, held: gate.Gate, now: float
    ) -> enginecall.EngineStream | calls.Verdict:
        known = self._upstreams.find_live(call.engine, now)
        others = self._loads.list_names(
            call.model, (*call.excluded, call.engine), now
        )
        if known is None:
            return self._divert(call, others, "engine leaves or is held back")
        decision = held.decide(
            call,
            self._holdings.limits(call.model, now),
            self._holdings.is_settled(now),
            self._holdings.prefixes.get((call.engine, call.chat), 0),
            _can_divert(call, others),
            now,
        )
        self._note(call, decision)
        match decision.choice:
            case gate.Choice.DIVERT:
                return self._divert(call, others, decision.reason)
            case gate.Choice.REFUSE:
                return _refuse(call, decision.reason, decision.wait_s)
            case gate.Choice.RUN:
                held.start(call, now, queued=False)
                return await self._send(call, held, known)
            case gate.Choice.PREEMPT:
                self._preempt(call, held, known)
        turned = await self._wait_turn(call, held)
        return turned or await self._send(call, held, known)

    def _note(self, call: calls.ChatCall, decision: gate.Decision) -> None:
        self._records.add(
            call.caller_id(),
            decision.choice.value,
            call.engine,
            decision.reason,
        )

    def _divert(
        self,
        call: calls.ChatCall,
        others: list[str],
        reason: str,
    ) -> calls.Verdict:
        if call.diverted:
            # The home that diverted the chat chooses again and remembers.
            return _turn(call, calls.Outcome.DIVERT, reason, "")
        now = time.monotonic()
        target = placement.choose_diversion(
            call.chat, others, lambda name: self._loads.find_load(name, now)
        )
        if target is None:
            return calls.Verdict(
                calls.Outcome.REFUSED,
                call.engine,
                "no engine is left",
                NO_ENGINE_RETRY_MS,
            )
        self._holdings.diversions[call.chat] = target
        return _turn(call, calls.Outcome.DIVERT, reason, target)

    def _preempt(
        self,
        call: calls.ChatCall,
        held: gate.Gate,
        known: upstreams.Upstream,
    ) -> None:
        """Tells the engine to stop a run; its end frees the slot."""
        limits = self._holdings.limits(call.model, time.monotonic())
        victim = held.choose_victim(call, limits)
        if victim is None:
            return
        victim.preempted = True
        self._records.add(
            victim.call.caller_id(),
            "preempt",
            call.engine,
            f"for {call.request_id}",
        )
        victim_id = victim.call.request_id
        self._keep(self._engines.cancel(known.url, victim_id, ""))

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
            wait_s = held.expect_wait_s(call)
            return _refuse(call, "target passed in the queue", wait_s)
        except asyncio.CancelledError:
            if ticket.done():
                self._forget_run(held, call, 0)
            else:
                held.abandon(waiting)
            raise
        if outcome is not None:
            return _turn(call, outcome, "the engine got another home")
        return None

    def pump(self, held: gate.Gate) -> None:
        """Sends queued requests for which there is room."""
        known = self._upstreams.upstreams.get(held.engine)
        now = time.monotonic()
        if known is None or self._is_paused(now):
            return
        if known.leaving:
            for waiting in held.queue.drain():
                waiting.resolve(calls.Outcome.NOT_HOME)
            return
        limits = self._holdings.limits(known.listed.service, now)
        settled = self._holdings.is_settled(now)
        while ready := held.pop_ready(limits, settled, now):
            if ready.ticket.done():
                continue
            held.start(ready.call, now, queued=True)
            ready.resolve(None)

    async def _send(
        self,
        call: calls.ChatCall,
        held: gate.Gate,
        known: upstreams.Upstream,
    ) -> enginecall.EngineStream | calls.Verdict:
        """Sends an admitted request to its engine."""
        stream_id = uuid.uuid4().hex
        run = held.runs[call.request_id]
        try:
            response = await self._engines.open(known.url, call, stream_id)
        except enginecall.Failed as failure:
            return self._take_failed(call, held, failure)
        except asyncio.CancelledError:
            self._keep(self._linger(call, held, stream_id, run))
            raise
        held.health.take_result(True, time.monotonic())
        self._holdings.prefixes[(call.engine, call.chat)] = call.prompt_tokens
        self.streams += 1

        def end(tokens: int, ended: bool) -> None:
            self.streams -= 1
            if ended:
                self._forget_run(held, call, tokens)
            else:
                self._keep(self._linger(call, held, stream_id, run))

        return enginecall.EngineStream(call, run, response, end)

    def _take_failed(
        self,
        call: calls.ChatCall,
        held: gate.Gate,
        failure: enginecall.Failed,
    ) -> calls.Verdict:
        if failure.draining:
            held.draining = True
            self._note_leaving(call.engine, True)
        self._forget_run(held, call, 0)
        held.health.take_result(False, time.monotonic())
        logs.event(
            _log,
            "engine_failed",
            logging.WARNING,
            upstream=call.engine,
            request_id=call.request_id,
            problem=str(failure),
        )
        return calls.Verdict(
            calls.Outcome.FAILED,
            call.engine,
            str(failure),
            not_run=failure.not_run,
        )

    def _forget_run(
        self, held: gate.Gate, call: calls.ChatCall, tokens: int
    ) -> None:
        held.finish(call.request_id, tokens, time.monotonic())
        self.pump(held)

    def _keep(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs work beside the requests."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _linger(
        self,
        call: calls.ChatCall,
        held: gate.Gate,
        stream_id: str,
        run: gate.Run,
    ) -> None:
        """Waits for a resumption, then tells the engine to stop."""
        await asyncio.sleep(RESUME_GRACE_S)
        known = self._upstreams.upstreams.get(call.engine)
        if known is not None:
            await self._engines.cancel(known.url, call.request_id, stream_id)
        if held.runs.get(call.request_id) is run:
            self._forget_run(held, call, 0)

    async def cancel(self, engine: str, request_id: str) -> None:
        """Stops a request whose caller has left."""
        known = self._upstreams.upstreams.get(engine)
        if known is not None:
            await self._engines.cancel(known.url, request_id, "")
        held = self._holdings.gates.get(engine)
        run = held.runs.get(request_id) if held else None
        if held is not None and run is not None:
            self._forget_run(held, run.call, 0)

    def take_report(self, engine: str, running: int, draining: bool) -> None:
        """Takes in an engine's load report."""
        held = self._holdings.gates.get(engine)
        if held is None:
            return
        held.take_report(running, draining, time.monotonic())
        self._note_leaving(engine, draining)
        self.pump(held)

    def take_silence(self, engine: str) -> None:
        """Takes in that an engine's load could not be read."""
        held = self._holdings.gates.get(engine)
        if held is not None:
            held.health.take_result(False, time.monotonic())

    async def run_shedding(self) -> None:
        """Updates published pressure until cancelled."""
        while True:
            await asyncio.sleep(SHED_PERIOD_S)
            for held in list(self._holdings.gates.values()):
                held.update_shed()
                self.pump(held)

    def count_work(self) -> int:
        """Returns the answers that pass through and the requests queued."""
        return self.streams + self._holdings.count_queued()


def _can_divert(call: calls.ChatCall, others: list[str]) -> bool:
    few = len(call.excluded) < DIVERTS_MAX
    return call.may_divert and bool(others) and few


def _refuse(call: calls.ChatCall, reason: str, wait_s: float) -> calls.Verdict:
    return calls.Verdict(
        calls.Outcome.REFUSED,
        call.engine,
        reason,
        max(RETRY_MIN_MS, int(wait_s * 1000)),
    )


def _turn(
    call: calls.ChatCall,
    outcome: calls.Outcome,
    reason: str,
    engine: str | None = None,
) -> calls.Verdict:
    target = call.engine if engine is None else engine
    return calls.Verdict(outcome, target, reason)
