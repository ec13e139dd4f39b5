"""Reads the load reports and cache events of a home's engines."""

from __future__ import annotations

import asyncio
import logging

import aiohttp
import pydantic

from agatedock import holdings
from agatedock import home
from agatedock import settings
from agatedock import upstreams

CALL_TIMEOUT_S = 1.0
CHECK_PERIOD_S = 0.1
# Shortest time between two polls of this router, whatever it holds: a poll
# is some 400 bytes, and control has only 6 KB/s.
POLL_GAP_S = 0.25

_log = logging.getLogger(__name__)


class CacheEvent(pydantic.BaseModel):
    """A change of an engine's prefix cache.

    Attributes:
      tokens: Tokens held of the prefix; 0 once evicted.
    """

    sequence: int
    prefix_key: str
    tokens: int


class LoadReport(pydantic.BaseModel):
    """What an engine says of itself.

    Attributes:
      running: Requests it has taken and not ended.
      events: Cache events after the sequence that was asked for.
    """

    running: int
    draining: bool = False
    events: list[CacheEvent] = []


class Reader:
    """Polls the engines of this home, one task for each.

    Attributes:
      polls: Number of polls so far.
    """

    def __init__(
        self,
        config: settings.Home,
        own_home: home.Home,
        held: holdings.Holdings,
        known: upstreams.View,
        client: aiohttp.ClientSession,
    ):
        self._period_s = config.load_poll_ms / 1000
        self._home = own_home
        self._holdings = held
        self._upstreams = known
        self._client = client
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self.polls = 0

    async def run(self) -> None:
        """Keeps one reading task for each engine until cancelled."""
        try:
            while True:
                for engine in self._holdings.gates:
                    if engine not in self._tasks:
                        task = asyncio.create_task(self._read_engine(engine))
                        self._tasks[engine] = task
                await asyncio.sleep(CHECK_PERIOD_S)
        finally:
            for task in self._tasks.values():
                task.cancel()

    async def _read_engine(self, engine: str) -> None:
        """Reads one engine for as long as this router is its home."""
        sequence = 0
        try:
            while engine in self._holdings.gates:
                known = self._upstreams.upstreams.get(engine)
                if known is None:
                    return
                sequence = await self._read_once(known, sequence)
                pace_s = len(self._holdings.gates) * POLL_GAP_S
                await asyncio.sleep(max(self._period_s, pace_s))
        finally:
            self._tasks.pop(engine, None)

    async def _read_once(self, known: upstreams.Upstream, sequence: int) -> int:
        self.polls += 1
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._client.get(
                f"{known.url}/load",
                params={"after": str(sequence)},
                timeout=timeout,
            ) as response:
                report = LoadReport.model_validate_json(await response.read())
        except (
            aiohttp.ClientError,
            TimeoutError,
            pydantic.ValidationError,
        ):
            self._home.take_silence(known.name)
            return sequence
        self._home.take_report(known.name, report.running, report.draining)
        for event in report.events:
            self._holdings.take_cache_event(
                known.name, event.prefix_key, event.tokens
            )
            sequence = max(sequence, event.sequence)
        return sequence
