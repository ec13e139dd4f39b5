"""Takes and gives up engines as members change."""

from __future__ import annotations

import asyncio
import logging
import time

from agatedock import errors
from agatedock import holdings
from agatedock import logs
from agatedock import members
from agatedock import rpcpeer

REFRESH_S = 0.2

_log = logging.getLogger(__name__)


class HandOver:
    """Keeps the engines held in step with the homes."""

    def __init__(self, own_name: str, held: holdings.Holdings):
        self._own_name = own_name
        self._holdings = held
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Keeps in step until cancelled."""
        while True:
            self.refresh()
            await asyncio.sleep(REFRESH_S)

    def refresh(self) -> None:
        """Opens engines that are now this router's and gives up others."""
        for engine, owner in self._holdings.refresh(time.monotonic()):
            task = asyncio.create_task(self._give_up(engine, owner))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _give_up(self, engine: str, owner: members.Member) -> None:
        closed = self._holdings.close(engine)
        if closed is None:
            return
        running = len(closed.runs)
        diversions = self._holdings.list_diversions(
            engine, rpcpeer.DIVERSIONS_MAX
        )
        try:
            accepted = await rpcpeer.hand_over(
                owner.item, self._own_name, engine, running, diversions
            )
        except errors.Unavailable as error:
            # The new home then opens the engine after its quiet time.
            logs.event(
                _log, "hand_over_failed", upstream=engine, problem=str(error)
            )
            return
        logs.event(
            _log,
            "handed_over",
            upstream=engine,
            peer=owner.name,
            running=running,
            accepted=accepted,
        )
