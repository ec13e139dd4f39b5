"""Finds an engine that runs a chat request, through the engines' homes."""

from __future__ import annotations

import asyncio
import random
import time

from agatedock import calls
from agatedock import chatrequest
from agatedock import errors
from agatedock import explain
from agatedock import home
from agatedock import homes
from agatedock import loads
from agatedock import placement
from agatedock import relay
from agatedock import retry
from agatedock import view

HOPS_MAX = 10
NOT_HOME_PAUSE_S = 0.1
NO_UPSTREAM_RETRY_MS = 2000
NO_ROOM_RETRY_MS = 1000
# Refused callers come back spread over half as long again.
RETRY_SPREAD = 0.5


class Placer:
    """Asks homes in turn until one runs the request."""

    def __init__(
        self,
        in_force: view.View,
        own_home: home.Home,
        home_map: homes.Map,
        known_loads: loads.Loads,
        peers: relay.Peers,
        records: explain.Records,
        budget: retry.Budget,
        seed: int,
    ):
        self._view = in_force
        self._home = own_home
        self._homes = home_map
        self._loads = known_loads
        self._peers = peers
        self._records = records
        self._budget = budget
        self._random = random.Random(seed)
        self._turn = 0

    async def open(self, plan: chatrequest.Plan) -> relay.Stream:
        """Returns the open answer of an engine.

        Raises:
          errors.Refusal: No engine runs the request.
        """
        engine = self._restart(plan)
        for _ in range(HOPS_MAX):
            opened = await self._ask(plan, engine)
            if not isinstance(opened, calls.Verdict):
                self._note(plan, "send", engine, "admitted")
                plan.stream = opened
                return opened
            self._note(plan, opened.outcome.value, engine, opened.reason)
            engine = await self._take_verdict(plan, engine, opened)
        raise self.refuse(plan, NO_ROOM_RETRY_MS, "no engine had room")

    def refuse(
        self, plan: chatrequest.Plan, retry_after_ms: int, reason: str
    ) -> errors.Refusal:
        """Returns the refusal of a request that there is no room for."""
        spread = 1 + self._random.uniform(0.0, RETRY_SPREAD)
        return errors.Refusal(
            errors.Code.OVERLOADED,
            reason,
            not_run=not plan.maybe_run,
            retry_after_ms=int(retry_after_ms * spread),
        )

    async def cancel(self, plan: chatrequest.Plan) -> None:
        """Tells the engine's home that the caller has left."""
        if plan.stream is None:
            return
        engine, request_id = plan.stream.engine, plan.call.request_id
        owner = self._homes.find(engine)
        if owner is None:
            return
        if self._peers.is_own(owner):
            await self._home.cancel(engine, request_id)
        else:
            await self._peers.cancel(owner, engine, request_id)

    def _note(
        self, plan: chatrequest.Plan, what: str, where: str, why: str
    ) -> None:
        self._records.add(plan.caller.request_id, what, where, why)

    def _restart(self, plan: chatrequest.Plan) -> str:
        """Returns the engine that the chat prefers among those left."""
        now = time.monotonic()
        call = plan.call
        names = self._loads.list_names(call.model, tuple(plan.excluded), now)
        if not names:
            raise errors.Refusal(
                errors.Code.NO_UPSTREAM,
                f"no engine of {call.model!r} is left to try",
                not_run=not plan.maybe_run,
                retry_after_ms=NO_UPSTREAM_RETRY_MS,
            )
        self._turn += 1
        name = self._view.resolver.get(
            "placement", account=call.account, model=call.model
        )
        plan.first = placement.strategies.get(name)(
            call.chat,
            names,
            lambda engine: self._loads.find_load(engine, now),
            self._turn,
        )
        return plan.first

    async def _ask(
        self, plan: chatrequest.Plan, engine: str
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
        self, plan: chatrequest.Plan, engine: str, verdict: calls.Verdict
    ) -> str:
        """Returns the engine to ask next.

        Raises:
          errors.Refusal: The request is given up.
        """
        plan.maybe_run = plan.maybe_run or not verdict.not_run
        match verdict.outcome:
            case calls.Outcome.REFUSED:
                raise self.refuse(plan, verdict.retry_after_ms, verdict.reason)
            case calls.Outcome.DIVERT if verdict.engine:
                return verdict.engine
            case calls.Outcome.DIVERT:
                # A full engine's home leaves the choice to the first home.
                plan.excluded.append(engine)
                return plan.first
            case calls.Outcome.FAILED:
                plan.excluded.append(engine)
                if not self._budget.spend():
                    reason = "retry budget is used up"
                    raise self.refuse(plan, NO_UPSTREAM_RETRY_MS, reason)
            case calls.Outcome.NOT_HOME:
                # Views of the members differ for a moment.
                await asyncio.sleep(NOT_HOME_PAUSE_S)
                if time.monotonic() >= plan.deadline:
                    plan.excluded.append(engine)
        return self._restart(plan)
