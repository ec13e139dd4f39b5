"""Membership over real datagrams of which a tenth is lost."""

from __future__ import annotations

import asyncio
import time
import unittest

from agatedock import wire
from bench import peers

SIZE = 6
PATIENCE_S = 40.0


class GossipTest(unittest.IsolatedAsyncioTestCase):
    """Light routers in one process."""

    async def asyncSetUp(self):
        plan = peers.Plan(SIZE, 0.0, 0.1, 7, 0.0)
        self._routers = [peers.LightRouter(i, plan) for i in range(SIZE)]
        ports = [await router.bind() for router in self._routers]
        for router in self._routers:
            router.meet(ports)
        self._tasks = [
            asyncio.create_task(router.run("")) for router in self._routers
        ]

    async def asyncTearDown(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for router in self._routers:
            router.close()

    async def _wait_until(self, holds) -> None:
        until = time.monotonic() + PATIENCE_S
        while not holds():
            self.assertLess(time.monotonic(), until, "never came about")
            await asyncio.sleep(0.1)

    def _sees(self, status: wire.Status, name: str) -> bool:
        """Tells whether all other routers see one in a condition."""
        return all(
            router.table.members[name].status == status
            for router in self._routers
            if router.name != name and name in router.table.members
        )

    async def test_death_and_return_become_known_to_all(self):
        last = self._routers[-1]
        await asyncio.sleep(1)
        last.gossip.silent = True
        await self._wait_until(lambda: self._sees(wire.Status.DEAD, last.name))
        last.gossip.silent = False
        for router in self._routers:
            await self._wait_until(
                lambda r=router: self._sees(wire.Status.ALIVE, r.name)
            )

    async def test_revision_reaches_all(self):
        self._routers[2].adopt(9)
        await self._wait_until(
            lambda: all(r.revision == 9 for r in self._routers)
        )

    async def test_loads_reach_all(self):
        def heard() -> bool:
            return all(
                member.state is not None
                for router in self._routers
                for member in router.table.members.values()
            )

        await self._wait_until(heard)
