"""Plays prompt parts that crash replicas, without a network."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random

from agatedock import hashing
from agatedock.decisions import quarantine
from agatedock.views import crash_evidence
from test import helper

VERSION = hashing.hash_name("")
DEADLY = 3
ROUTERS = 6
REPLICAS = 6
REQUESTS_PER_S = 45.0
DURATION_S = 40.0
DEADLY_FROM_S = 4.0
DOWN_S = 3.0
EXCHANGE_S = 0.5
CONTACT_S = 3.0
ATTEMPTS_MAX = 2
# Mean time from the first event of a sound answer to its end.
ANSWER_S = 0.8
PROGRESS_S = 0.2
CRASHES_JUDGED = 5


@dataclasses.dataclass
class Work:
    """One request in the simulation."""

    parts: tuple[int, ...]
    attempts: int = 0
    replica: int = -1
    run: int = 0
    router: int = 0
    begun_at: float | None = None
    is_resumed: bool = False


@dataclasses.dataclass(frozen=True)
class Load:
    """What is played.

    Attributes:
      deadly_share: Share of the requests that have the deadly part.
      crashes_per_s: Crashes without a cause, per second.
      deadly_s: Longest time from the first event of an answer on the deadly
        part to the crash; it crashes before the first event if it is 0.
    """

    deadly_share: float
    crashes_per_s: float = 0.0
    deadly_s: float = 0.0


class Simulation:
    """Requests at routers and replicas, with crashes and retries.

    Attributes:
      deadly_crashes: Times of the crashes that the deadly part caused.
      deadly_sent: Times at which requests with it were sent to replicas.
      refused: Sound requests that were refused.
      sound: Sound requests.
    """

    def __init__(self, seed: int, load: Load):
        self._random = random.Random(seed)
        self._load = load
        self._events: list = []
        self._order = itertools.count()
        self._evidence = [
            crash_evidence.CrashEvidence() for _ in range(ROUTERS)
        ]
        self._runs = [0] * REPLICAS
        self._up_at = [0.0] * REPLICAS
        self._running: list[list[Work]] = [[] for _ in range(REPLICAS)]
        self.deadly_crashes: list[float] = []
        self.deadly_sent: list[float] = []
        self.refused = 0
        self.sound = 0

    def run(self) -> None:
        """Plays the whole duration."""
        self._add(0.0, self._arrive)
        self._add(EXCHANGE_S, self._exchange)
        if self._load.crashes_per_s:
            self._add(1.0, self._crash_any)
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            if now > DURATION_S:
                return
            action(now, *arguments)

    def count_late(self) -> int:
        """Returns the deadly requests sent after the fifth crash."""
        if len(self.deadly_crashes) < CRASHES_JUDGED:
            return 0
        limit = self.deadly_crashes[CRASHES_JUDGED - 1] + CONTACT_S
        return sum(at > limit for at in self.deadly_sent)

    def _add(self, at: float, action, *arguments) -> None:
        heapq.heappush(self._events, (at, next(self._order), action, arguments))

    def _arrive(self, now: float) -> None:
        self._add(now + self._random.expovariate(REQUESTS_PER_S), self._arrive)
        root = 10 + self._random.randrange(3)
        topic = 100 + self._random.randrange(60)
        parts: tuple[int, ...] = (root, topic)
        is_deadly = self._random.random() < self._load.deadly_share
        if now > DEADLY_FROM_S and is_deadly:
            parts = (10, 100, DEADLY)
        work = Work(parts, router=self._random.randrange(ROUTERS))
        self.sound += DEADLY not in parts
        self._send(now, work, is_retry=False)

    def _send(self, now: float, work: Work, is_retry: bool) -> None:
        evidence = self._evidence[work.router]
        cause = quarantine.find_cause(
            work.parts, VERSION, evidence, is_retry=is_retry
        )
        if cause is not None:
            self.refused += DEADLY not in work.parts
            return
        up = [n for n in range(REPLICAS) if self._up_at[n] <= now]
        if not up:
            return
        work.attempts += 1
        work.is_resumed = work.begun_at is not None
        work.begun_at = None
        work.replica = self._random.choice(up)
        work.run = self._runs[work.replica]
        self._running[work.replica].append(work)
        if DEADLY in work.parts:
            self.deadly_sent.append(now)
        self._add(
            now + self._random.expovariate(5), self._begin, work, work.run
        )

    def _is_at_work(self, work: Work, run: int) -> bool:
        return work.run == run and work in self._running[work.replica]

    def _begin(self, now: float, work: Work, run: int) -> None:
        if not self._is_at_work(work, run):
            return
        if DEADLY in work.parts and not self._load.deadly_s:
            self._crash_by(now, work, run)
            return
        work.begun_at = now
        self._evidence[work.router].record_begin(work.parts, "", now)
        self._add(now + PROGRESS_S, self._progress, work, run)
        if DEADLY in work.parts:
            delay_s = self._random.uniform(0.0, self._load.deadly_s)
            self._add(now + delay_s, self._crash_by, work, run)
        else:
            delay_s = self._random.expovariate(1 / ANSWER_S)
            self._add(now + delay_s, self._end, work, run)

    def _progress(self, now: float, work: Work, run: int) -> None:
        if not self._is_at_work(work, run) or work.is_resumed:
            return
        self._evidence[work.router].record_progress(
            work.parts, "", now - work.begun_at, now
        )
        self._add(now + PROGRESS_S, self._progress, work, run)

    def _end(self, now: float, work: Work, run: int) -> None:
        if not self._is_at_work(work, run):
            return
        self._running[work.replica].remove(work)
        if not work.is_resumed:
            self._evidence[work.router].record_whole(work.parts, "", now)

    def _crash_by(self, now: float, work: Work, run: int) -> None:
        if self._is_at_work(work, run):
            self.deadly_crashes.append(now)
            self._crash(now, work.replica)

    def _crash_any(self, now: float) -> None:
        delay_s = self._random.expovariate(self._load.crashes_per_s)
        self._add(now + delay_s, self._crash_any)
        self._crash(now, self._random.randrange(REPLICAS))

    def _crash(self, now: float, number: int) -> None:
        ended, self._running[number] = self._running[number], []
        replica = helper.make_replica(
            number, started_at_ms=1 + self._runs[number]
        )
        self._runs[number] += 1
        self._up_at[number] = now + DOWN_S
        for work in ended:
            lasted_s = 0.0
            if work.begun_at is not None:
                lasted_s = max(0.001, now - work.begun_at)
            self._evidence[work.router].record_crash(
                work.parts, replica, now, lasted_s
            )
            if work.attempts < ATTEMPTS_MAX:
                self._send(now, work, is_retry=True)

    def _exchange(self, now: float) -> None:
        self._add(now + EXCHANGE_S, self._exchange)
        news = [
            [
                known
                for part in item.list_parts()
                if (known := item.describe(part))
            ]
            for item in self._evidence
        ]
        for item, others in itertools.product(self._evidence, news):
            item.merge(others, now)
