"""Queue of one engine: ranks with floors, fair shares within a rank."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Iterator
import dataclasses
import math
from typing import Any

from agatedock import calls


@dataclasses.dataclass(eq=False)
class Waiting:
    """A queued request.

    Attributes:
      call: The request.
      start_tag: Virtual time at which its account's earlier work ends.
      ticket: Resolved with None once the request may be sent, else with why
        it has to look elsewhere.
    """

    call: calls.ChatCall
    start_tag: float
    ticket: asyncio.Future[calls.Outcome | None]

    def resolve(self, outcome: calls.Outcome | None) -> None:
        """Ends the waiting unless it has ended already."""
        if not self.ticket.done():
            self.ticket.set_result(outcome)


class RankLine:
    """Requests of one rank, taken in start-time fair order of accounts."""

    def __init__(self) -> None:
        self._lines: dict[str, collections.deque[Waiting]] = {}
        self._finish_tags: dict[str, float] = {}
        self._virtual = 0.0
        self.count = 0
        self.work_tokens = 0

    def add(self, call: calls.ChatCall, ticket: Any) -> Waiting:
        """Queues a request behind the work of its account."""
        start = self._charge_estimate(call)
        if call.offset:
            # An answer that has begun goes on before others begin.
            start = -math.inf
        waiting = Waiting(call, start, ticket)
        self._lines.setdefault(call.account, collections.deque()).append(
            waiting
        )
        self.count += 1
        self.work_tokens += call.work_tokens
        return waiting

    def pop(self) -> Waiting | None:
        """Takes the request whose account has had the least work."""
        heads = [line[0] for line in self._lines.values()]
        if not heads:
            return None
        first = min(heads, key=lambda waiting: waiting.start_tag)
        self.remove(first)
        self._virtual = max(self._virtual, first.start_tag)
        self._trim_tags()
        return first

    def remove(self, waiting: Waiting) -> None:
        """Takes out a request, whether its turn has come or not."""
        line = self._lines[waiting.call.account]
        line.remove(waiting)
        if not line:
            del self._lines[waiting.call.account]
        self.count -= 1
        self.work_tokens -= waiting.call.work_tokens

    def charge(self, call: calls.ChatCall, actual_work: int) -> None:
        """Replaces the estimated work of a finished request by the actual."""
        tag = self._finish_tags.get(call.account)
        if tag is not None:
            correction = (actual_work - call.work_tokens) / call.weight
            self._finish_tags[call.account] = tag + correction

    def start(self, call: calls.ChatCall) -> None:
        """Accounts for a request that ran without waiting."""
        self._charge_estimate(call)

    def _charge_estimate(self, call: calls.ChatCall) -> float:
        """Adds a request to its account's work; returns its start tag."""
        start = max(self._virtual, self._finish_tags.get(call.account, 0.0))
        share = call.work_tokens / call.weight
        self._finish_tags[call.account] = start + share
        return start

    def tokens_ahead(self, account: str) -> int:
        """Estimates the queued work that goes before a new request.

        Fair order lets each other account go first with at most about as
        many requests as the account itself has queued, plus one.
        """
        turns = len(self._lines.get(account, ())) + 1
        ahead = 0
        for name, line in self._lines.items():
            taken = len(line) if name == account else min(turns, len(line))
            ahead += sum(line[i].call.work_tokens for i in range(taken))
        return ahead

    def _trim_tags(self) -> None:
        """Forgets accounts whose past work no longer matters."""
        if len(self._finish_tags) > 2 * len(self._lines) + 64:
            self._finish_tags = {
                name: tag
                for name, tag in self._finish_tags.items()
                if tag > self._virtual or name in self._lines
            }

    def __iter__(self) -> Iterator[Waiting]:
        for line in self._lines.values():
            yield from line


class RankQueue:
    """All ranks of one engine."""

    def __init__(self, floor_shares: tuple[float, ...]):
        self.floor_shares = floor_shares
        self.lines = [RankLine() for _ in floor_shares]

    def __len__(self) -> int:
        return sum(line.count for line in self.lines)

    def pop(self, running: list[int], slots: int) -> Waiting | None:
        """Takes the next request to run.

        Ranks below their floors go first, the one that has least of its
        floor before the others; then strictly by rank. Floors of ranks with
        nothing waiting are so lent to the others.

        Args:
          running: Requests on the engine by rank.
          slots: Most requests on the engine.
        """
        waiting = [r for r, line in enumerate(self.lines) if line.count]
        if not waiting:
            return None
        below = [r for r in waiting if self.is_below_floor(r, running, slots)]
        if below:
            least = min(below, key=lambda r: running[r] / self._floor(r, slots))
            return self.lines[least].pop()
        return self.lines[waiting[0]].pop()

    def _floor(self, rank: int, slots: int) -> int:
        """Returns the slots kept for a rank.

        Rounded up: a floor of less than a slot must not come to nothing.
        """
        return math.ceil(self.floor_shares[rank] * slots)

    def is_below_floor(self, rank: int, running: list[int], slots: int) -> bool:
        """Tells whether a rank has less than its floor on the engine."""
        return running[rank] < self._floor(rank, slots)

    def tokens_ahead(self, call: calls.ChatCall) -> float:
        """Estimates the queued work that goes before a new request.

        Returns:
          Tokens, as if the engine served nothing else.
        """
        own = self.lines[call.rank].tokens_ahead(call.account)
        above = sum(line.work_tokens for line in self.lines[: call.rank])
        floor = self.floor_shares[call.rank]
        through_floor = own / floor if floor else float("inf")
        return min(own + above, through_floor)

    def drain(self) -> list[Waiting]:
        """Takes out everything."""
        drained = [waiting for line in self.lines for waiting in line]
        for waiting in drained:
            self.lines[waiting.call.rank].remove(waiting)
        return drained
