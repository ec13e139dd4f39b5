"""News that a router hears and spreads: peers, VM list, leaving upstreams."""

from __future__ import annotations

import asyncio
import logging
import random
import time

from agatedock import clock
from agatedock import errors
from agatedock import follow
from agatedock import gossip
from agatedock import logs
from agatedock import members
from agatedock import platform
from agatedock import rpcpeer
from agatedock import upstreams
from agatedock import wire

SYNC_PERIOD_S = 30.0
SYNC_TRIES = 3

_log = logging.getLogger(__name__)


class News:
    """Brings news from outside to the parts that keep it."""

    def __init__(
        self,
        vms: platform.VmList,
        poll_ms: int,
        known: upstreams.View,
        talk: gossip.Gossip,
        follower: follow.Follower,
        seed: int,
    ):
        self._vms = vms
        self._poll_s = poll_ms / 1000
        self._upstreams = known
        self._gossip = talk
        self._table = talk.table
        self._follower = follower
        self._random = random.Random(seed)

    def hear_revision(self, sender: str, revision: int, digest: int) -> None:
        """Takes the configuration revision in force at a peer."""
        self._follower.hear_revision(sender, revision, digest)

    def hear_leaving(self, item: wire.LeavingItem) -> bool:
        """Takes news of an upstream; returns whether it was new."""
        return self._upstreams.take_news(item, time.monotonic())

    def note_leaving(self, upstream: str, leaving: bool) -> None:
        """Takes what an upstream said of itself, and spreads it if new."""
        item = self._upstreams.note_leaving(
            upstream, leaving, time.monotonic(), clock.read_wall_ms()
        )
        if item is not None:
            self._spread_leaving(item)

    def _spread_leaving(self, item: wire.LeavingItem) -> None:
        self._gossip.board.post(item)
        self._gossip.push_now(follow.PUSH_PEERS)
        logs.event(
            _log, "upstream_leaving", upstream=item.upstream, back=item.back
        )

    async def join(self) -> None:
        """Learns members and configuration from peers, if any answer."""
        await self._read_vms()
        peers = self._table.list_peers()
        self._random.shuffle(peers)
        for peer in peers[:SYNC_TRIES]:
            if await self._sync_with(peer):
                return

    async def run_sync(self) -> None:
        """Compares members with a random peer now and then."""
        while True:
            await asyncio.sleep(SYNC_PERIOD_S * self._random.uniform(0.5, 1.5))
            peers = self._table.list_peers()
            if peers:
                await self._sync_with(self._random.choice(peers))

    async def _sync_with(self, peer: members.Member) -> bool:
        try:
            items = await rpcpeer.sync(peer.item, self._table.own, self._table)
        except errors.Unavailable as error:
            logs.event(_log, "sync_failed", peer=peer.name, problem=str(error))
            return False
        now = time.monotonic()
        for item in items:
            self._gossip.take(item, now)
            if isinstance(item, wire.StateItem):
                self._follower.hear_newer(item.name, item.revision)
        return True

    async def run_vm_list(self) -> None:
        """Reads the VM list until cancelled."""
        while True:
            await self._read_vms()
            await asyncio.sleep(self._poll_s * self._random.uniform(0.8, 1.2))

    async def _read_vms(self) -> None:
        try:
            rows = await self._vms.read()
        except errors.Unavailable as error:
            logs.event(
                _log, "vm_list_unavailable", logging.WARNING, problem=str(error)
            )
            return
        if rows is None:
            return
        now = time.monotonic()
        for item in self._upstreams.take_rows(rows, now, clock.read_wall_ms()):
            self._spread_leaving(item)
        for row in rows:
            if row.role == "router":
                self._table.seed(row, now)
