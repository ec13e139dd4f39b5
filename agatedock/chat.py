"""Chat requests at the router that the caller reached."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
import contextlib
import json
import logging
import random
import time
import uuid

import aiohttp
from aiohttp import web

from agatedock import answers
from agatedock import calls
from agatedock import chatrequest
from agatedock import errors
from agatedock import explain
from agatedock import fleet
from agatedock import intake
from agatedock import loads
from agatedock import logs
from agatedock import metrics
from agatedock import placer
from agatedock import relay
from agatedock import retry
from agatedock import shares
from agatedock import view

RESUMES_MAX = 5
RESUME_PAUSE_S = 0.2
PREEMPTED_WAIT_S = 60.0
SSE_HEADERS = {
    "Content-Type": "text/event-stream",
    "Cache-Control": "no-store",
}

_log = logging.getLogger(__name__)


class ChatRoute:
    """Serves chat requests: places, relays, resumes and explains them."""

    def __init__(
        self,
        in_force: view.View,
        engines: placer.Placer,
        records: explain.Records,
        budget: retry.Budget,
        known_loads: loads.Loads,
        silence_s: float,
        figures: metrics.Metrics,
        seed: int,
    ):
        self._view = in_force
        self._placer = engines
        self._records = records
        self._budget = budget
        self._loads = known_loads
        self._silence_s = silence_s
        self._metrics = figures
        self._random = random.Random(seed)
        self._demands = [shares.Demands() for _ in range(fleet.RANKS_COUNT)]

    async def serve(
        self, request: web.Request, caller: intake.Caller, data: bytes
    ) -> web.StreamResponse:
        """Answers one chat request.

        Raises:
          errors.Refusal: It was not served.
        """
        now = time.monotonic()
        wanted = chatrequest.parse(data)
        plan = self._make_plan(wanted, caller, now)
        self._shed(plan, now)
        self._budget.earn(self._setting("retry_ratio", plan.call))
        stream = await self._placer.open(plan)
        try:
            if wanted.stream:
                return await self._stream(request, plan, stream)
            return await self._collect(plan, stream)
        finally:
            if plan.stream is not None:
                plan.stream.close()

    def _setting(self, key: str, call: calls.ChatCall):
        return self._view.resolver.get(
            key, account=call.account, model=call.model
        )

    def _make_plan(
        self, wanted: chatrequest.ChatRequest, caller: intake.Caller, now: float
    ) -> chatrequest.Plan:
        document = self._view.document
        if document.find_model(wanted.model) is None:
            raise errors.Refusal(
                errors.Code.UNKNOWN_MODEL, f"no model {wanted.model!r}"
            )
        call = self._make_template(wanted, caller)
        most = self._setting("work_max_tokens", call)
        if call.prompt_tokens + call.answer_tokens > most:
            raise errors.Refusal(
                errors.Code.TOO_LARGE,
                f"prompt of about {call.prompt_tokens} and answer of "
                f"{call.answer_tokens} tokens; together at most {most}",
            )
        target_s = document.ranks[call.rank].first_token_ms / 1000
        return chatrequest.Plan(
            caller=caller,
            body=wanted.model_dump(exclude={"stream"}),
            call=call,
            started=now,
            deadline=now + target_s,
            checker=answers.Checker(call.request_id),
        )

    def _make_template(
        self, wanted: chatrequest.ChatRequest, caller: intake.Caller
    ) -> calls.ChatCall:
        """Returns the call with all that does not change on the way."""
        read = self._view.resolver.get
        scope = {"account": caller.account, "model": wanted.model}
        return calls.ChatCall(
            request_id=f"{caller.request_id}.{uuid.uuid4().hex[:8]}",
            account=caller.account,
            model=wanted.model,
            rank=self._view.document.rank_of(caller.work),
            prompt_tokens=chatrequest.estimate_prompt(wanted),
            answer_tokens=wanted.max_tokens,
            weight=read("account_weight", **scope),
            chat=chatrequest.make_chat_key(caller, wanted),
            engine="",
            diverted=False,
            may_divert=read("placement", **scope) == "bounded",
            excluded=(),
            offset=0,
            preemptions=0,
            returning=any(m.role == "assistant" for m in wanted.messages),
            deadline=0.0,
            body=b"",
        )

    def _shed(self, plan: chatrequest.Plan, now: float) -> None:
        """Refuses at once what the homes have no room for."""
        call = plan.call
        demand = self._demands[call.rank]
        demand.add(call.account, call.work_tokens / call.weight, now)
        shed = self._loads.find_shed(call.model, call.rank, now)
        share = demand.refuse_share(call.account, shed, now)
        if self._random.random() < share:
            self._note(plan, "refuse", "entry", f"shedding {share:.2f}")
            reason = "no room for this rank"
            raise self._placer.refuse(plan, placer.NO_ROOM_RETRY_MS, reason)

    def _note(
        self, plan: chatrequest.Plan, what: str, where: str, why: str
    ) -> None:
        self._records.add(plan.caller.request_id, what, where, why)

    # Answers.

    async def _events(
        self, plan: chatrequest.Plan, stream: relay.Stream
    ) -> AsyncGenerator[bytes, None]:
        """Yields whole events up to the end mark, resuming cut streams.

        Raises:
          errors.Refusal: The answer could not be completed.
        """
        for _ in range(RESUMES_MAX):
            preempted = False
            problem = "ended without the end mark"
            plan.maybe_run = True
            try:
                async with contextlib.aclosing(stream.chunks()) as chunks:
                    async for chunk in chunks:
                        whole = plan.checker.feed(chunk)
                        if whole:
                            self._note_first(plan)
                            yield whole
            except answers.Preempted:
                preempted = True
            except (
                answers.BrokenAnswer,
                aiohttp.ClientError,
                TimeoutError,
                ConnectionError,
            ) as error:
                problem = repr(error)
            if plan.checker.done:
                return
            if preempted:
                stream = await self._requeue(plan, stream)
            else:
                stream = await self._resume(plan, stream, problem)
        raise errors.Refusal(
            errors.Code.INTERRUPTED, "answer cut too often", not_run=False
        )

    def _note_first(self, plan: chatrequest.Plan) -> None:
        """Measures the time to the first token, once."""
        if plan.first_token_at:
            return
        plan.first_token_at = time.monotonic()
        rank = self._view.document.ranks[plan.call.rank].name
        elapsed_ms = (plan.first_token_at - plan.started) * 1000
        self._metrics.first_token_ms.observe({"rank": rank}, elapsed_ms)

    async def _requeue(
        self, plan: chatrequest.Plan, stream: relay.Stream
    ) -> relay.Stream:
        """Waits for the rest of an answer that gave way to urgent work."""
        plan.preemptions += 1
        plan.checker.restart()
        plan.excluded.clear()
        plan.deadline = time.monotonic() + PREEMPTED_WAIT_S
        self._note(plan, "requeue", stream.engine, f"at {plan.checker.events}")
        return await self._reopen(plan)

    async def _resume(
        self, plan: chatrequest.Plan, stream: relay.Stream, problem: str
    ) -> relay.Stream:
        """Opens the answer again where it broke off."""
        plan.checker.restart()
        offset = plan.checker.events
        self._note(plan, "resume", stream.engine, f"at {offset}: {problem}")
        logs.event(
            _log,
            "answer_cut",
            logging.WARNING,
            request_id=plan.caller.request_id,
            account=plan.caller.account,
            upstream=stream.engine,
            offset=offset,
            problem=problem,
        )
        if not self._budget.spend():
            raise errors.Refusal(
                errors.Code.INTERRUPTED,
                "answer cut; retry budget is used up",
                not_run=False,
                retry_after_ms=placer.NO_UPSTREAM_RETRY_MS,
            )
        # The answer has begun, so its first-token target no longer counts.
        plan.deadline = time.monotonic() + self._silence_s
        plan.excluded.clear()
        await asyncio.sleep(RESUME_PAUSE_S)
        return await self._reopen(plan)

    async def _reopen(self, plan: chatrequest.Plan) -> relay.Stream:
        try:
            return await self._placer.open(plan)
        except errors.Refusal as refusal:
            raise errors.Refusal(
                errors.Code.INTERRUPTED,
                f"answer cut after {plan.checker.events} events: {refusal}",
                not_run=False,
                retry_after_ms=refusal.retry_after_ms,
            ) from refusal

    async def _stream(
        self, request: web.Request, plan: chatrequest.Plan, stream: relay.Stream
    ) -> web.StreamResponse:
        """Relays the answer as server-sent events."""
        response = web.StreamResponse(
            headers={**SSE_HEADERS, **_describe(plan, stream)}
        )
        try:
            await response.prepare(request)
            async with contextlib.aclosing(
                self._events(plan, stream)
            ) as events:
                async for whole in events:
                    await response.write(whole)
        except errors.Refusal as refusal:
            body = json.dumps(refusal.describe(plan.caller.request_id))
            await response.write(f"event: error\ndata: {body}\n\n".encode())
        except (asyncio.CancelledError, ConnectionError):
            await self._placer.cancel(plan)
            raise
        await response.write_eof()
        return response

    async def _collect(
        self, plan: chatrequest.Plan, stream: relay.Stream
    ) -> web.StreamResponse:
        """Answers with one JSON body once the whole answer is there."""
        try:
            async for _ in self._events(plan, stream):
                pass
        except asyncio.CancelledError:
            await self._placer.cancel(plan)
            raise
        payloads = plan.checker.payloads()
        body = {
            "id": plan.caller.request_id,
            "object": "chat.completion",
            "model": plan.call.model,
            "choices": [
                {
                    "index": 0,
                    "message": {
                        "role": "assistant",
                        "content": plan.checker.text(),
                    },
                    "finish_reason": "stop",
                }
            ],
            "usage": payloads[-1].get("usage", {}),
        }
        return web.json_response(body, headers=_describe(plan, stream))


def _describe(plan: chatrequest.Plan, stream: relay.Stream) -> dict[str, str]:
    return {
        "X-Request-Id": plan.caller.request_id,
        "X-Served-By": stream.engine,
        "X-Cached-Tokens": str(stream.cached_tokens),
    }
