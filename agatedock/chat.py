"""Chat requests at the router that the caller reached."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses
import json
import logging
import random
import time
import uuid

import aiohttp
from aiohttp import web
import pydantic
import xxhash

from agatedock import answers
from agatedock import calls
from agatedock import errors
from agatedock import explain
from agatedock import fleet
from agatedock import home
from agatedock import homes
from agatedock import intake
from agatedock import loads
from agatedock import logs
from agatedock import placement
from agatedock import relay
from agatedock import retry
from agatedock import shares
from agatedock import view

HOPS_MAX = 10
NOT_HOME_PAUSE_S = 0.1
RESUMES_MAX = 5
RESUME_PAUSE_S = 0.2
PREEMPTED_WAIT_S = 60.0
CHARS_PER_TOKEN = 4
DEFAULT_ANSWER_TOKENS = 256
NO_UPSTREAM_RETRY_MS = 2000
SSE_HEADERS = {
    "Content-Type": "text/event-stream",
    "Cache-Control": "no-store",
}

_log = logging.getLogger(__name__)


class Message(pydantic.BaseModel):
    """One message of a chat."""

    role: str
    content: str


class ChatRequest(pydantic.BaseModel):
    """Body of a chat request, in the form usual for model engines."""

    model_config = pydantic.ConfigDict(extra="allow")

    model: str
    messages: list[Message] = pydantic.Field(min_length=1)
    max_tokens: int = pydantic.Field(DEFAULT_ANSWER_TOKENS, ge=1, le=32768)
    stream: bool = False


@dataclasses.dataclass
class Plan:
    """A chat request being served.

    Attributes:
      caller: Who asked.
      body: The request as engines understand it.
      call: The call with all that does not change on the way.
      deadline: Monotonic time in seconds up to which an engine is looked for.
      checker: Follows the answer.
      first: Engine that the chat prefers; its home decides on diversions.
      maybe_run: True once an engine may have received the request.
      excluded: Engines that turned the request away.
    """

    caller: intake.Caller
    body: dict
    call: calls.ChatCall
    deadline: float
    checker: answers.Checker
    first: str = ""
    maybe_run: bool = False
    preemptions: int = 0
    excluded: list[str] = dataclasses.field(default_factory=list)

    def make_call(self, engine: str) -> calls.ChatCall:
        """Returns the call for one engine, with what was passed so far."""
        body = self.body
        if self.checker.events:
            so_far = {
                "text": self.checker.text(),
                "events": self.checker.events,
            }
            body = {**body, "continue": so_far}
        return dataclasses.replace(
            self.call,
            engine=engine,
            diverted=engine != self.first,
            excluded=tuple(self.excluded),
            offset=self.checker.events,
            preemptions=self.preemptions,
            deadline=self.deadline,
            body=json.dumps(body).encode(),
        )


class ChatRoute:
    """Serves chat requests: places, relays, resumes and explains them."""

    def __init__(
        self,
        in_force: view.View,
        own_home: home.Home,
        home_map: homes.Map,
        known_loads: loads.Loads,
        peers: relay.Peers,
        records: explain.Records,
        budget: retry.Budget,
        shed_share: Callable[[str, int, float], float],
        seed: int,
    ):
        self._view = in_force
        self._home = own_home
        self._homes = home_map
        self._loads = known_loads
        self._peers = peers
        self._records = records
        self._budget = budget
        self._shed_share = shed_share
        self._random = random.Random(seed)
        self._turn = 0
        self._demands = [shares.Demands() for _ in range(fleet.RANKS_COUNT)]

    async def serve(
        self, request: web.Request, caller: intake.Caller, data: bytes
    ) -> web.StreamResponse:
        """Answers one chat request.

        Raises:
          errors.Refusal: It was not served.
        """
        now = time.monotonic()
        wanted = parse(data)
        plan = self._make_plan(wanted, caller, now)
        self._shed(plan, now)
        self._budget.earn(self._setting("retry_ratio", plan.call))
        stream = await self._open(plan)
        if wanted.stream:
            return await self._stream(request, plan, stream)
        return await self._collect(plan, stream)

    def _setting(self, key: str, call: calls.ChatCall):
        return self._view.resolver.get(
            key, account=call.account, model=call.model
        )

    def _make_plan(
        self, wanted: ChatRequest, caller: intake.Caller, now: float
    ) -> Plan:
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
        return Plan(
            caller=caller,
            body=wanted.model_dump(exclude={"stream"}),
            call=call,
            deadline=now + target_s,
            checker=answers.Checker(call.request_id),
        )

    def _make_template(
        self, wanted: ChatRequest, caller: intake.Caller
    ) -> calls.ChatCall:
        """Returns the call with all that does not change on the way."""
        read = self._view.resolver.get
        scope = {"account": caller.account, "model": wanted.model}
        return calls.ChatCall(
            request_id=f"{caller.request_id}.{uuid.uuid4().hex[:8]}",
            account=caller.account,
            model=wanted.model,
            rank=self._view.document.rank_of(caller.work),
            prompt_tokens=_estimate_prompt(wanted),
            answer_tokens=wanted.max_tokens,
            weight=read("account_weight", **scope),
            chat=_make_chat_key(caller, wanted),
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

    def _shed(self, plan: Plan, now: float) -> None:
        """Refuses at once what the homes have no room for."""
        call = plan.call
        demand = self._demands[call.rank]
        demand.add(call.account, call.work_tokens / call.weight, now)
        shed = self._shed_share(call.model, call.rank, now)
        share = demand.refuse_share(call.account, shed, now)
        if self._random.random() < share:
            self._note(plan, "refuse", "entry", f"shedding {share:.2f}")
            raise self._refuse_overload(plan, 1000, "no room for this rank")

    def _refuse_overload(
        self, plan: Plan, retry_after_ms: int, reason: str
    ) -> errors.Refusal:
        # Spread so that refused callers do not return all at once.
        spread_ms = int(retry_after_ms * self._random.uniform(1.0, 1.5))
        return errors.Refusal(
            errors.Code.OVERLOADED,
            reason,
            not_run=not plan.maybe_run,
            retry_after_ms=spread_ms,
        )

    def _note(self, plan: Plan, what: str, where: str, why: str) -> None:
        self._records.add(plan.caller.request_id, what, where, why)

    # Placement.

    def _choose_first(self, plan: Plan) -> str | None:
        now = time.monotonic()
        names = self._loads.list_names(
            plan.call.model, tuple(plan.excluded), now
        )
        if not names:
            return None
        self._turn += 1
        name = self._setting("placement", plan.call)
        strategy = placement.strategies.get(name)
        return strategy(
            plan.call.chat,
            names,
            lambda engine: self._loads.find_load(engine, now),
            self._turn,
        )

    async def _open(self, plan: Plan) -> relay.Stream:
        """Finds an engine that runs the request."""
        engine = self._restart(plan)
        for _ in range(HOPS_MAX):
            opened = await self._ask(plan, engine)
            if not isinstance(opened, calls.Verdict):
                self._note(plan, "send", engine, "admitted")
                return opened
            self._note(plan, opened.outcome.value, engine, opened.reason)
            engine = await self._take_verdict(plan, engine, opened)
        raise self._refuse_overload(plan, 1000, "no engine had room")

    def _restart(self, plan: Plan) -> str:
        first = self._choose_first(plan)
        if first is None:
            raise errors.Refusal(
                errors.Code.NO_UPSTREAM,
                f"no engine of {plan.call.model!r} is left to try",
                not_run=not plan.maybe_run,
                retry_after_ms=NO_UPSTREAM_RETRY_MS,
            )
        plan.first = first
        return first

    async def _ask(
        self, plan: Plan, engine: str
    ) -> relay.Stream | calls.Verdict:
        call = plan.make_call(engine)
        owner = self._homes.find(engine)
        if owner is None:
            return calls.Verdict(
                calls.Outcome.NOT_HOME, engine, "no home is known"
            )
        if self._peers.is_own(owner):
            return await self._home.open(call)
        return await self._peers.open(owner, call)

    async def _take_verdict(
        self, plan: Plan, engine: str, verdict: calls.Verdict
    ) -> str:
        """Returns the engine to ask next.

        Raises:
          errors.Refusal: The request is given up.
        """
        plan.maybe_run = plan.maybe_run or not verdict.not_run
        match verdict.outcome:
            case calls.Outcome.REFUSED:
                raise self._refuse_overload(
                    plan, verdict.retry_after_ms, verdict.reason
                )
            case calls.Outcome.DIVERT if verdict.engine:
                return verdict.engine
            case calls.Outcome.NOT_HOME:
                # Views of the members differ for a moment.
                await asyncio.sleep(NOT_HOME_PAUSE_S)
                if time.monotonic() < plan.deadline:
                    return self._restart(plan)
                plan.excluded.append(engine)
            case calls.Outcome.FAILED:
                plan.excluded.append(engine)
                if not self._budget.spend():
                    raise self._refuse_overload(
                        plan, NO_UPSTREAM_RETRY_MS, "retry budget is used up"
                    )
            case _:
                plan.excluded.append(engine)
                return plan.first
        return self._restart(plan)

    # Answers.

    async def _events(
        self, plan: Plan, stream: relay.Stream
    ) -> AsyncIterator[bytes]:
        """Yields whole events up to the end mark, resuming cut streams.

        Raises:
          errors.Refusal: The answer could not be completed.
        """
        for _ in range(RESUMES_MAX):
            preempted = False
            problem = "ended without the end mark"
            plan.maybe_run = True
            try:
                async for chunk in stream.chunks():
                    whole = plan.checker.feed(chunk)
                    if whole:
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

    async def _requeue(self, plan: Plan, stream: relay.Stream) -> relay.Stream:
        """Waits for the rest of an answer that gave way to urgent work."""
        plan.preemptions += 1
        plan.checker.restart()
        plan.excluded.clear()
        plan.deadline = time.monotonic() + PREEMPTED_WAIT_S
        self._note(plan, "requeue", stream.engine, f"at {plan.checker.events}")
        return await self._reopen(plan)

    async def _resume(
        self, plan: Plan, stream: relay.Stream, problem: str
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
                retry_after_ms=NO_UPSTREAM_RETRY_MS,
            )
        # The answer has begun, so its first-token target no longer counts.
        plan.deadline = time.monotonic() + self._silence_s()
        plan.excluded.clear()
        await asyncio.sleep(RESUME_PAUSE_S)
        return await self._reopen(plan)

    async def _reopen(self, plan: Plan) -> relay.Stream:
        try:
            return await self._open(plan)
        except errors.Refusal as refusal:
            raise errors.Refusal(
                errors.Code.INTERRUPTED,
                f"answer cut after {plan.checker.events} events: {refusal}",
                not_run=False,
                retry_after_ms=refusal.retry_after_ms,
            ) from refusal

    def _silence_s(self) -> float:
        return self._peers.silence_s

    async def _stream(
        self, request: web.Request, plan: Plan, stream: relay.Stream
    ) -> web.StreamResponse:
        """Relays the answer as server-sent events."""
        response = web.StreamResponse(
            headers={**SSE_HEADERS, **_describe(plan, stream)}
        )
        try:
            await response.prepare(request)
            async for whole in self._events(plan, stream):
                await response.write(whole)
        except errors.Refusal as refusal:
            body = json.dumps(refusal.describe(plan.caller.request_id))
            await response.write(f"event: error\ndata: {body}\n\n".encode())
        except (asyncio.CancelledError, ConnectionError):
            await self._cancel(plan, stream)
            raise
        await response.write_eof()
        return response

    async def _collect(
        self, plan: Plan, stream: relay.Stream
    ) -> web.StreamResponse:
        """Answers with one JSON body once the whole answer is there."""
        try:
            async for _ in self._events(plan, stream):
                pass
        except asyncio.CancelledError:
            await self._cancel(plan, stream)
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

    async def _cancel(self, plan: Plan, stream: relay.Stream) -> None:
        """Tells the engine's home that the caller has left."""
        owner = self._homes.find(stream.engine)
        if owner is None:
            return
        if self._peers.is_own(owner):
            await self._home.cancel(stream.engine, plan.call.request_id)
        else:
            await self._peers.cancel(owner, stream.engine, plan.call.request_id)


def parse(data: bytes) -> ChatRequest:
    """Returns the request in a caller's body.

    Raises:
      errors.Refusal: With everything that is wrong with it.
    """
    try:
        return ChatRequest.model_validate_json(data)
    except pydantic.ValidationError as error:
        findings = "; ".join(
            f"{'.'.join(str(p) for p in e['loc']) or 'body'}: {e['msg']}"
            for e in error.errors()
        )
        raise errors.Refusal(errors.Code.BAD_REQUEST, findings) from None


def _estimate_prompt(wanted: ChatRequest) -> int:
    chars = sum(len(message.content) for message in wanted.messages)
    return chars // CHARS_PER_TOKEN


def _make_chat_key(caller: intake.Caller, wanted: ChatRequest) -> str:
    """Returns a key that all turns of a chat share.

    Without a chat id the opening of the chat stands for it, since every
    later turn repeats it.
    """
    opening = caller.chat_id
    if not opening:
        first = [
            m.content for m in wanted.messages[:2] if m.role != "assistant"
        ]
        opening = "\0".join(first)
    return f"{caller.account}/{xxhash.xxh3_64_hexdigest(opening.encode())}"


def _describe(plan: Plan, stream: relay.Stream) -> dict[str, str]:
    return {
        "X-Request-Id": plan.caller.request_id,
        "X-Served-By": stream.engine,
        "X-Cached-Tokens": str(stream.cached_tokens),
    }
