"""Admission to one engine at its home: bound, slots, ranks and deadlines."""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
from typing import Any

from agatedock import calls
from agatedock import health
from agatedock import rankqueue

# Weight of the newest sample in moving averages.
SMOOTHING = 0.2
# Work rate of an engine before it has finished anything.
START_TOKENS_PER_S = 400.0
PREFILL_TOKENS_PER_S = 5000.0
# Share of the estimated work that requests turn out to need, before any
# has finished: callers ask for more tokens than they use.
START_ACTUAL_SHARE = 0.5
# Share of its target that a request waits for the engine with its prefix,
# if that is of at least so many tokens.
PATIENCE_SHARE = 0.1
PREFIX_MIN_TOKENS = 64
# How far an engine's load may be ahead of its last report: the engine's own
# lag and the longest time between two polls.
REPORT_LAG_S = 2.5
# Requests without a prefix in the engine's cache leave this share of the
# bound to chats that return.
NEW_CHAT_SHARE = 0.9
# A request gives way at most this often, so that it ends some time.
PREEMPTIONS_MAX = 2
SHED_STEP = 0.5
SHED_DECAY = 0.8
SHED_DROP = 0.3
SHED_REFUSED_SHARE = 0.05
SHED_MAX = 0.98


class Choice(enum.Enum):
    """What to do with a request at its engine's home."""

    RUN = "run"
    WAIT = "wait"
    PREEMPT = "preempt"
    DIVERT = "divert"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True)
class Decision:
    """A choice with its reason.

    Attributes:
      wait_s: Expected time in the queue.
    """

    choice: Choice
    reason: str
    wait_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of an engine at one moment.

    Attributes:
      bound: Most requests that the multiple of the mean load allows.
      slots: Most requests that the engine runs at once.
    """

    bound: int
    slots: int

    @property
    def top(self) -> int:
        """Returns the tighter of the two."""
        return min(self.bound, self.slots)


@dataclasses.dataclass(frozen=True)
class Mean:
    """Mean load of a model's engines as far as a home knows it.

    Attributes:
      likely: The mean by the last news of all homes.
      low: A mean that the true one is rarely below.
    """

    likely: float
    low: float


def compute_bound(multiple: float, mean: Mean, floor: int) -> int:
    """Returns the most requests on one engine for a mean load.

    The low mean keeps the bound while the true mean falls unseen. One request
    above the likely mean is always let through, or engines that are all at
    the bound would keep the mean from growing with demand.
    """
    safe = math.ceil(multiple * mean.low)
    step = min(math.floor(mean.likely) + 1, math.ceil(multiple * mean.likely))
    return max(floor, safe, step)


@dataclasses.dataclass
class Run:
    """A request on the engine.

    Attributes:
      started: Monotonic time in seconds at which it was sent.
      preempted: True once it has been told to give way.
    """

    call: calls.ChatCall
    started: float
    preempted: bool = False


class Gate:
    """State of one engine at its home; one writer, no locks."""

    def __init__(self, engine: str, floor_shares: tuple[float, ...]):
        self.engine = engine
        self.queue = rankqueue.RankQueue(floor_shares)
        self.runs: dict[str, Run] = {}
        self.foreign = 0
        self.open_from = math.inf
        self.draining = False
        self.tokens_per_s = START_TOKENS_PER_S
        self.actual_share = START_ACTUAL_SHARE
        self.shed = [0.0] * len(floor_shares)
        self._offered = [0] * len(floor_shares)
        self._refused = [0] * len(floor_shares)
        self._own_peaks: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._sent_at: collections.deque[float] = collections.deque()
        self.health = health.Health()

    def load(self) -> int:
        """Returns the requests on the engine, those of others included."""
        return len(self.runs) + self.foreign

    def running_by_rank(self) -> list[int]:
        """Returns this home's requests on the engine by rank."""
        counts = [0] * len(self.shed)
        for run in self.runs.values():
            counts[run.call.rank] += 1
        return counts

    def is_usable(self, now: float) -> bool:
        """Tells whether the engine takes requests at all."""
        return not self.draining and self.health.is_good(now)

    def room(self, limits: Limits, settled: bool, now: float) -> int:
        """Returns how many requests may be sent now.

        While another router may also send to the engine, the room seen in
        the last report is shared: this home uses half of it.
        """
        room = limits.top - self.load()
        if settled and not self.foreign:
            return room
        while self._sent_at and self._sent_at[0] < now - REPORT_LAG_S:
            self._sent_at.popleft()
        recent = len(self._sent_at)
        return (room + recent) // 2 - recent

    def decide(
        self,
        call: calls.ChatCall,
        limits: Limits,
        settled: bool,
        cached_tokens: int,
        can_divert: bool,
        now: float,
    ) -> Decision:
        """Chooses what to do with a new request.

        Args:
          call: The request.
          limits: Limits of the engine now.
          settled: Whether no other router can take itself for the home.
          cached_tokens: Prefix that the engine is expected to hold.
          can_divert: Whether another engine is left to try.
          now: Monotonic time in seconds.
        """
        self._offered[call.rank] += 1
        if now < self.open_from or not self.is_usable(now):
            return self._decide_closed(call, can_divert, now)
        room = self.room(limits, settled, now)
        kept = 0
        if not cached_tokens and can_divert:
            kept = limits.top - math.ceil(limits.top * NEW_CHAT_SHARE)
        if room > kept and not len(self.queue):
            return Decision(Choice.RUN, "room on the engine")
        full = self.load() >= limits.slots
        if full and self.choose_victim(call, limits) is not None:
            return Decision(Choice.PREEMPT, "takes back a slot")
        wait_s = self.expect_wait_s(call)
        if can_divert and wait_s > self._patience_s(call, cached_tokens, now):
            return Decision(Choice.DIVERT, "another engine is sooner", wait_s)
        if not call.offset and now + wait_s > call.deadline:
            return self._turn_away(
                call, False, "target would be missed", wait_s
            )
        return Decision(Choice.WAIT, "queued by rank", wait_s)

    def _decide_closed(
        self, call: calls.ChatCall, can_divert: bool, now: float
    ) -> Decision:
        """Chooses for an engine that opens later or not at all."""
        opens_at = max(self.open_from, self.health.ejected_until)
        wait_s = opens_at - now
        if not can_divert and not self.draining and opens_at < call.deadline:
            return Decision(Choice.WAIT, "engine opens soon", wait_s)
        return self._turn_away(call, can_divert, "engine closed", wait_s)

    def _patience_s(
        self, call: calls.ChatCall, cached_tokens: int, now: float
    ) -> float:
        """Returns how long a request waits for the engine with its prefix.

        Beside the prefill it saves, a prefix spares all engines work; that
        is worth a part of the time that the rank's target leaves.
        """
        if cached_tokens < PREFIX_MIN_TOKENS:
            return 0.0
        saved_s = cached_tokens / PREFILL_TOKENS_PER_S
        return saved_s + PATIENCE_SHARE * max(0.0, call.deadline - now)

    def _turn_away(
        self,
        call: calls.ChatCall,
        can_divert: bool,
        reason: str,
        wait_s: float,
    ) -> Decision:
        if can_divert:
            return Decision(Choice.DIVERT, reason, wait_s)
        self._refused[call.rank] += 1
        return Decision(Choice.REFUSE, reason, wait_s)

    def expect_wait_s(self, call: calls.ChatCall) -> float:
        """Estimates the time in seconds until a new request would run."""
        ahead = self.queue.tokens_ahead(call)
        # Of requests of random age the first to end has about one part in
        # their number of its work left, and a like part of the work rate.
        running = [run.call.work_tokens for run in self.runs.values()]
        turn = sum(running) / (len(running) + 1)
        return (ahead + turn) * self.actual_share / self.tokens_per_s

    def enqueue(self, call: calls.ChatCall, ticket: Any) -> rankqueue.Waiting:
        """Queues a request that was told to wait."""
        return self.queue.lines[call.rank].add(call, ticket)

    def abandon(self, waiting: rankqueue.Waiting) -> None:
        """Takes out a request whose caller left or whose time is up."""
        if waiting in self.queue.lines[waiting.call.rank]:
            self.queue.lines[waiting.call.rank].remove(waiting)
            self._refused[waiting.call.rank] += 1

    def start(self, call: calls.ChatCall, now: float, *, queued: bool) -> None:
        """Counts a request as sent; must precede the sending."""
        if not queued:
            self.queue.lines[call.rank].start(call)
        self.runs[call.request_id] = Run(call, now)
        self._sent_at.append(now)
        self._note_own(now)

    def finish(self, request_id: str, actual_tokens: int, now: float) -> None:
        """Counts a request as ended and learns from its actual work."""
        run = self.runs.pop(request_id, None)
        if run is None:
            return
        self._note_own(now)
        work = run.call.work_of(actual_tokens)
        self.queue.lines[run.call.rank].charge(run.call, work)
        elapsed_s = max(now - run.started, 0.001)
        if actual_tokens:
            # All requests on the engine share its work rate.
            sample = work / elapsed_s * (len(self.runs) + 1)
            self.tokens_per_s += SMOOTHING * (sample - self.tokens_per_s)
            share = work / max(1, run.call.work_tokens)
            self.actual_share += SMOOTHING * (share - self.actual_share)

    def choose_victim(self, call: calls.ChatCall, limits: Limits) -> Run | None:
        """Returns the run that gives its slot to a new request.

        Floors and fair shares are lent while their owners need less; this
        takes a slot back. It is the latest run of the least urgent rank, or
        of the account furthest above its share, with the least to lose.
        """
        able = [
            run
            for run in self.runs.values()
            if not run.preempted and run.call.preemptions < PREEMPTIONS_MAX
        ]
        victim = self._choose_by_floor(call, able, limits)
        return victim or self._choose_by_share(call, able)

    def _choose_by_floor(
        self, call: calls.ChatCall, able: list[Run], limits: Limits
    ) -> Run | None:
        running = self.running_by_rank()
        # Slots that are being given back are spoken for.
        running[call.rank] += self._count_stopping()
        if not self.queue.is_below_floor(call.rank, running, limits.slots):
            return None
        return max(
            (run for run in able if run.call.rank > call.rank),
            key=lambda run: (run.call.rank, run.started),
            default=None,
        )

    def _choose_by_share(
        self, call: calls.ChatCall, able: list[Run]
    ) -> Run | None:
        """Finds an account with twice the slots that the caller would have."""
        slots: dict[str, float] = {}
        for run in self.runs.values():
            if run.call.rank == call.rank and not run.preempted:
                share = 1 / run.call.weight
                slots[run.call.account] = (
                    slots.get(run.call.account, 0.0) + share
                )
        wanted = slots.get(call.account, 0.0) + 1 / call.weight
        wanted += self._count_stopping()
        return max(
            (
                run
                for run in able
                if run.call.rank == call.rank
                and run.call.account != call.account
                and slots[run.call.account] >= 2 * wanted
            ),
            key=lambda run: (slots[run.call.account], run.started),
            default=None,
        )

    def _count_stopping(self) -> int:
        return sum(run.preempted for run in self.runs.values())

    def pop_ready(
        self, limits: Limits, settled: bool, now: float
    ) -> rankqueue.Waiting | None:
        """Takes the next queued request if there is room for it."""
        if now < self.open_from or not self.is_usable(now):
            return None
        if self.room(limits, settled, now) <= 0:
            return None
        return self.queue.pop(self.running_by_rank(), limits.slots)

    def take_report(self, running: int, draining: bool, now: float) -> None:
        """Takes in the engine's own load report, which may lag."""
        self.draining = draining
        while len(self._own_peaks) > 1 and (
            self._own_peaks[1][0] < now - REPORT_LAG_S
        ):
            self._own_peaks.popleft()
        peak = max((n for _, n in self._own_peaks), default=0)
        self.foreign = max(0, running - max(peak, len(self.runs)))

    def _note_own(self, now: float) -> None:
        self._own_peaks.append((now, len(self.runs)))
        while len(self._own_peaks) > 1 and (
            self._own_peaks[1][0] < now - 2 * REPORT_LAG_S
        ):
            self._own_peaks.popleft()

    def update_shed(self) -> None:
        """Adjusts the share of each rank to refuse at entry, once a second."""
        for rank, offered in enumerate(self._offered):
            refused = self._refused[rank] / offered if offered else 0.0
            if refused > SHED_REFUSED_SHARE:
                step = (1 - self.shed[rank]) * refused * SHED_STEP
                self.shed[rank] = min(SHED_MAX, self.shed[rank] + step)
            else:
                # With nothing queued the flood is over.
                self.shed[rank] *= SHED_DECAY if len(self.queue) else SHED_DROP
        self._offered = [0] * len(self.shed)
        self._refused = [0] * len(self.shed)
