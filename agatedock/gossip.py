"""Membership among routers over datagrams that may be lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import logging
import random
import time
from typing import Protocol
from typing import cast

import msgspec

from agatedock import board
from agatedock import logs
from agatedock import members
from agatedock import settings
from agatedock import wire

INDIRECT_PROBES = 3
CHECK_PERIOD_S = 0.5
STATE_REFRESH_S = 5.0
STATE_MIN_GAP_S = 0.2
# Room for news on probes and their answers.
PIGGYBACK_MAX_BYTES = 200

_log = logging.getLogger(__name__)


class Listener(Protocol):
    """What is told of news from peers."""

    def hear_revision(self, sender: str, revision: int, digest: int) -> None:
        """Takes the configuration revision in force at a peer."""

    def hear_leaving(self, item: wire.LeavingItem) -> bool:
        """Takes news of an upstream; returns whether it was new."""


@dataclasses.dataclass
class Traffic:
    """Control traffic of this process so far."""

    sent_bytes: int = 0
    received_bytes: int = 0
    sent_packets: int = 0
    bad_packets: int = 0


class _Deaf:
    """Hears nothing; stands in until the parts are wired."""

    def hear_revision(self, sender: str, revision: int, digest: int) -> None:
        """Ignores a revision."""

    def hear_leaving(self, item: wire.LeavingItem) -> bool:
        """Ignores news of an upstream."""
        del item
        return False


class Gossip(asyncio.DatagramProtocol):
    """Sends and receives datagrams: one task for each peer, one for news.

    Attributes:
      listener: What is told of news from peers.
      revision: Configuration revision in force here, on every datagram.
      digest: Digest of that configuration.
    """

    def __init__(
        self,
        table: members.Table,
        config: settings.Gossip,
        describe_own: Callable[[], wire.StateItem],
        seed: int,
    ):
        self.table = table
        self.listener: Listener = _Deaf()
        self.traffic = Traffic()
        self.board = board.Board()
        self.revision = 0
        self.digest = 0
        self._config = config
        self._describe_own = describe_own
        self._random = random.Random(seed)
        self._transport: asyncio.DatagramTransport | None = None
        self._sequence = 0
        self._waiting: dict[int, asyncio.Future[None]] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._told_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport; called by the event loop."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Takes in one datagram; called by the event loop."""
        self.traffic.received_bytes += len(data)
        try:
            packet, items = wire.decode(data)
        except wire.BadPacket as error:
            self.traffic.bad_packets += 1
            logs.event(_log, "bad_packet", logging.DEBUG, problem=str(error))
            return
        for item in items:
            self.take(item, time.monotonic())
        self.listener.hear_revision(
            packet.sender, packet.revision, packet.digest
        )
        self._answer(packet, addr)

    def take(self, item: wire.Item, now: float) -> None:
        """Takes in one item of news and passes it on if it is new."""
        if isinstance(item, wire.MemberItem):
            news = self.table.merge(item, now)
            if news is not None:
                self._announce(news)
        elif isinstance(item, wire.StateItem):
            # Not passed on: every router tells every other one itself.
            self.table.merge_state(item, now)
        elif self.listener.hear_leaving(item):
            self.board.post(item)

    def take_own(self, item: wire.MemberItem) -> None:
        """Spreads what this router says of its own condition."""
        self._announce(item)

    def _announce(self, item: wire.MemberItem) -> None:
        self.board.post(item)
        logs.event(
            _log,
            "member",
            peer=item.name,
            status=item.status.name.lower(),
            incarnation=item.incarnation,
        )

    def _answer(self, packet: wire.Packet, addr: tuple) -> None:
        if packet.kind == wire.Kind.PROBE:
            self._send(addr, wire.Kind.ACK, packet.sequence)
        elif packet.kind == wire.Kind.ACK:
            future = self._waiting.get(packet.sequence)
            if future is not None and not future.done():
                future.set_result(None)
        elif packet.kind == wire.Kind.ASK_PROBE:
            self._start(
                f"relay-{packet.sender}-{packet.sequence}",
                self._probe_for(packet, addr),
            )

    async def _probe_for(self, packet: wire.Packet, addr: tuple) -> None:
        """Probes a member for a peer that got no answer from it."""
        member = self.table.members.get(packet.target)
        if member is not None and await self._probe(member):
            self._send(addr, wire.Kind.ACK, packet.sequence)

    def _send(
        self, addr: tuple, kind: wire.Kind, sequence: int, target: str = ""
    ) -> None:
        """Sends a datagram with news for which there is room."""
        picked = self._pick(PIGGYBACK_MAX_BYTES)
        self._transmit(addr, kind, sequence, target, picked)

    def _transmit(
        self,
        addr: tuple,
        kind: wire.Kind,
        sequence: int,
        target: str,
        items: list[bytes],
    ) -> int:
        """Sends one datagram and returns its size in bytes."""
        if self._transport is None or self._transport.is_closing():
            return 0
        packet = wire.Packet(
            kind,
            sequence,
            self.table.own.name,
            target,
            self.revision,
            self.digest,
            [msgspec.Raw(item) for item in items],
        )
        data = wire.encode(packet)
        self.traffic.sent_bytes += len(data)
        self.traffic.sent_packets += 1
        self._transport.sendto(data, addr)
        return len(data)

    async def run(self) -> None:
        """Keeps membership going until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._watch_peers())
                group.create_task(self._send_updates())
        finally:
            for task in list(self._tasks.values()):
                task.cancel()

    async def _watch_peers(self) -> None:
        """Starts a task for each new peer and expires silent ones."""
        while True:
            now = time.monotonic()
            for news in self.table.expire(now):
                self._announce(news)
            for peer in self.table.list_peers():
                if peer.name not in self._tasks:
                    self._start(peer.name, self._watch_peer(peer.name))
            await asyncio.sleep(CHECK_PERIOD_S)

    def _start(self, name: str, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks[name] = task
        task.add_done_callback(lambda _: self._tasks.pop(name, None))

    async def _watch_peer(self, name: str) -> None:
        """Probes one peer for as long as it counts as alive."""
        while True:
            # All peers' tasks together send a fixed number of probes.
            peers = max(1, len(self.table.list_peers()))
            mean_s = peers / self._config.probes_per_s
            await asyncio.sleep(mean_s * self._random.uniform(0.5, 1.5))
            member = self.table.members.get(name)
            if member is None or member.status == wire.Status.DEAD:
                return
            alive = await self._check_peer(member)
            self.table.note_probe(alive)
            if alive:
                continue
            news = self.table.suspect(name, time.monotonic())
            if news is not None:
                self._announce(news)

    async def _check_peer(self, member: members.Member) -> bool:
        """Probes a peer twice and then through others; True if it lives."""
        # A second direct probe separates a lost datagram from a lost peer.
        if await self._probe(member) or await self._probe(member):
            return True
        helpers = [
            m
            for m in self.table.list_peers()
            if m.name != member.name and m.status == wire.Status.ALIVE
        ]
        self._random.shuffle(helpers)
        sequence, future = self._expect()
        try:
            for helper in helpers[:INDIRECT_PROBES]:
                self._send(
                    _address(helper),
                    wire.Kind.ASK_PROBE,
                    sequence,
                    member.name,
                )
            timeout_s = 3 * self._config.probe_timeout_ms / 1000
            return await self._wait(future, timeout_s)
        finally:
            self._waiting.pop(sequence, None)

    async def _probe(self, member: members.Member) -> bool:
        sequence, future = self._expect()
        try:
            self._send(_address(member), wire.Kind.PROBE, sequence)
            timeout_s = self._config.probe_timeout_ms / 1000
            return await self._wait(future, timeout_s)
        finally:
            self._waiting.pop(sequence, None)

    def _expect(self) -> tuple[int, asyncio.Future[None]]:
        self._sequence = (self._sequence + 1) & 0xFFFFFFFF
        future = asyncio.get_running_loop().create_future()
        self._waiting[self._sequence] = future
        return self._sequence, future

    async def _wait(
        self, future: asyncio.Future[None], timeout_s: float
    ) -> bool:
        try:
            await asyncio.wait_for(asyncio.shield(future), timeout_s)
        except TimeoutError:
            return False
        return True

    async def _send_updates(self) -> None:
        """Tells every peer in turn this router's state and other news.

        The pace follows from the bytes sent, so that a larger fleet hears
        more rarely and costs no more. Passing states on from router to router
        was no fresher at the same bytes, since much of it arrives twice.
        """
        while True:
            state = self._describe_own()
            peers = self.table.list_peers()
            if not peers or not self._is_due(state, time.monotonic()):
                await asyncio.sleep(CHECK_PERIOD_S)
                continue
            self._random.shuffle(peers)
            for peer in peers:
                state = self._describe_own()
                sent = self._send_update(peer, state)
                pace_s = sent / self._config.update_bytes_per_s
                gap_s = max(pace_s, STATE_MIN_GAP_S / len(peers))
                await asyncio.sleep(gap_s * self._random.uniform(0.8, 1.2))

    def _is_due(self, state: wire.StateItem, now: float) -> bool:
        """Tells whether there is anything to say to all peers."""
        last = self.table.members[self.table.own.name].state
        if len(self.board) or last is None:
            return True
        same = msgspec.structs.replace(state, version=last.version) == last
        return not same or now - self._told_at > STATE_REFRESH_S

    def _send_update(self, peer: members.Member, state: wire.StateItem) -> int:
        """Sends this router's state and news; returns the bytes sent."""
        now = time.monotonic()
        own = self.table.members[self.table.own.name]
        own.state, own.state_at = state, now
        self._told_at = now
        data = wire.encode_item(state)
        room = self._config.datagram_max_bytes - len(data)
        items = [data, *self._pick(max(0, room))]
        return self._transmit(_address(peer), wire.Kind.UPDATE, 0, "", items)

    def _pick(self, room: int) -> list[bytes]:
        return self.board.pick(room, len(self.table.members))

    def push_now(self, count: int) -> None:
        """Sends news at once to a few random peers."""
        peers = self.table.list_peers()
        self._random.shuffle(peers)
        for peer in peers[:count]:
            self._send(_address(peer), wire.Kind.UPDATE, 0)


def _address(member: members.Member) -> tuple[str, int]:
    return member.item.host, member.item.gossip_port
