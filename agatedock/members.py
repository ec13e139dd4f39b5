"""Membership table: which routers are in the fleet and in what condition."""

from __future__ import annotations

import dataclasses
import math

import msgspec
import xxhash

from agatedock import platform
from agatedock import wire

Status = wire.Status

# A router that misses answers to its own probes trusts itself less and
# waits longer before it declares others dead.
MAX_SLOWNESS = 4


@dataclasses.dataclass
class Member:
    """A router as this router sees it.

    Attributes:
      changed_at: Monotonic time in seconds of the last change of status.
      state: What it last said of itself.
      state_at: Monotonic time in seconds at which that arrived.
    """

    item: wire.MemberItem
    changed_at: float
    state: wire.StateItem | None = None
    state_at: float = 0.0

    @property
    def name(self) -> str:
        """Returns the router's name."""
        return self.item.name

    @property
    def status(self) -> Status:
        """Returns the router's condition."""
        return self.item.status


class Table:
    """All known routers, this one included.

    Attributes:
      changed_at: Monotonic time in seconds of the last change of a member.
      version: Number of changes so far.
    """

    def __init__(
        self,
        own: wire.MemberItem,
        suspicion_s: float,
        forget_s: float,
        now: float,
    ):
        self._suspicion_s = suspicion_s
        self._forget_s = forget_s
        self._slowness = 0
        self._misses = 0
        self.own = own
        self.members: dict[str, Member] = {own.name: Member(own, now)}
        self.changed_at = now
        self.version = 0

    def merge(
        self, item: wire.MemberItem, now: float
    ) -> wire.MemberItem | None:
        """Takes in news of a member.

        Returns:
          The item to spread: the news, a refutation if the news wrongly
          doubts this router, or None if it was known already.
        """
        if item.name == self.own.name:
            return self._refute(item, now)
        known = self.members.get(item.name)
        if known is not None:
            before = (known.item.incarnation, known.item.status)
            if (item.incarnation, item.status) <= before:
                return None
        elif item.status == Status.DEAD:
            return None
        state = known.state if known else None
        state_at = known.state_at if known else 0.0
        self.members[item.name] = Member(item, now, state, state_at)
        self._note_change(now)
        return item

    def _refute(
        self, item: wire.MemberItem, now: float
    ) -> wire.MemberItem | None:
        doubted = item.status in (Status.SUSPECT, Status.DEAD)
        stranger = item.incarnation > self.own.incarnation
        if not stranger and not (
            doubted and item.incarnation == self.own.incarnation
        ):
            return None
        self.slow_down()
        self.set_own(self.own.status, now, item.incarnation + 1)
        return self.own

    def set_own(
        self, status: Status, now: float, incarnation: int | None = None
    ) -> None:
        """Changes what this router says of its own condition."""
        if incarnation is None:
            incarnation = self.own.incarnation
        self.own = _replace(self.own, status, incarnation)
        self.members[self.own.name].item = self.own
        self._note_change(now)

    def _note_change(self, now: float) -> None:
        self.changed_at = now
        self.version += 1

    def set_ports(
        self, gossip_port: int, peer_port: int, rpc_port: int, now: float
    ) -> None:
        """Fills in the ports of this router once they are bound."""
        self.own = msgspec.structs.replace(
            self.own,
            gossip_port=gossip_port,
            peer_port=peer_port,
            rpc_port=rpc_port,
        )
        self.members[self.own.name] = Member(self.own, now)
        self._note_change(now)

    def merge_state(self, item: wire.StateItem, now: float) -> bool:
        """Takes in what a member says of itself; tells whether it is new."""
        member = self.members.get(item.name)
        if member is None or item.name == self.own.name:
            return False
        if member.state is not None:
            before = (member.state.incarnation, member.state.version)
            if (item.incarnation, item.version) <= before:
                return False
        member.state = item
        member.state_at = now
        return True

    def seed(self, vm: platform.Vm, now: float) -> wire.MemberItem | None:
        """Takes in a router from the VM list if it is unknown."""
        if vm.name in self.members:
            return None
        # Incarnation 0 lets anything the router says of itself win.
        item = wire.MemberItem(
            name=vm.name,
            incarnation=0,
            status=Status.ALIVE,
            host=vm.host,
            gossip_port=vm.gossip_port,
            peer_port=vm.port,
            rpc_port=vm.rpc_port,
            failure_domain=vm.failure_domain,
        )
        return self.merge(item, now)

    def suspect(self, name: str, now: float) -> wire.MemberItem | None:
        """Marks a member that did not answer; returns the news to spread."""
        member = self.members.get(name)
        if member is None or member.status != Status.ALIVE:
            return None
        item = _replace(member.item, Status.SUSPECT, member.item.incarnation)
        return self.merge(item, now)

    def expire(self, now: float) -> list[wire.MemberItem]:
        """Declares long suspected members dead and forgets long dead ones.

        Returns:
          The news to spread.
        """
        news = []
        wait_s = self.suspicion_s()
        for member in list(self.members.values()):
            age_s = now - member.changed_at
            if member.status == Status.SUSPECT and age_s >= wait_s:
                item = _replace(
                    member.item, Status.DEAD, member.item.incarnation
                )
                merged = self.merge(item, now)
                if merged is not None:
                    news.append(merged)
            elif member.status == Status.DEAD and age_s >= self._forget_s:
                del self.members[member.name]
        return news

    def suspicion_s(self) -> float:
        """Returns how long a member stays suspected, in seconds."""
        size = max(1.0, math.log10(len(self.members)))
        return self._suspicion_s * size * (1 + self._slowness)

    def slow_down(self) -> None:
        """Notes a sign that this router itself may be slow."""
        self._slowness = min(MAX_SLOWNESS, self._slowness + 1)

    def note_probe(self, answered: bool) -> None:
        """Notes whether a probe was answered.

        One silent peer may be dead; several in a row without an answer in
        between are a sign that this router itself is slow or cut off.
        """
        if answered:
            self._misses = 0
            self._slowness = max(0, self._slowness - 1)
            return
        self._misses += 1
        if self._misses > 1:
            self.slow_down()

    def list_up(self) -> list[Member]:
        """Returns the members that take requests; suspected ones still do.

        A router known from the VM list alone does not count: the list lags
        and may name one that is long gone.
        """
        return [
            m
            for m in self.members.values()
            if m.status < Status.LEAVING and m.item.incarnation > 0
        ]

    def digest(self) -> int:
        """Returns a digest of all members' incarnations and conditions."""
        rows = sorted(
            (m.name, m.item.incarnation, int(m.status))
            for m in self.members.values()
        )
        return xxhash.xxh3_64_intdigest(repr(rows).encode())

    def list_peers(self) -> list[Member]:
        """Returns all other members that are not dead."""
        return [
            m
            for m in self.members.values()
            if m.name != self.own.name and m.status != Status.DEAD
        ]


def _replace(
    item: wire.MemberItem, status: Status, incarnation: int
) -> wire.MemberItem:
    return msgspec.structs.replace(item, status=status, incarnation=incarnation)
