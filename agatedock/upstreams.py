"""The router's view of upstreams: VM list, news from peers, flapping."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses

from agatedock import platform
from agatedock import wire

# An upstream that comes back is held back for a time that doubles with each
# return; after a quiet time the count starts again.
HOLD_FIRST_S = 0.5
HOLD_MAX_S = 30.0
FLAP_MEMORY_S = 120.0


@dataclasses.dataclass
class Upstream:
    """An engine or a replica of a plain service.

    Attributes:
      listed: Its newest row in the VM list.
      leaving: Whether it must get no new work.
      stamp_ms: Wall-clock time of the news that set `leaving`.
      joined_at: Monotonic time in seconds at which it was first listed.
      held_until: Monotonic time in seconds before which it gets no work.
    """

    listed: platform.Vm
    leaving: bool = False
    stamp_ms: int = 0
    joined_at: float = 0.0
    held_until: float = 0.0
    returns: int = 0
    returned_at: float = 0.0

    @property
    def name(self) -> str:
        """Returns the upstream's name."""
        return self.listed.name

    @property
    def url(self) -> str:
        """Returns the base URL of the upstream."""
        return f"http://{self.listed.host}:{self.listed.port}"


class View:
    """All upstreams that this router knows.

    Attributes:
      version: Number of upstreams that came or went so far.
    """

    def __init__(self) -> None:
        self.version = 0
        self.upstreams: dict[str, Upstream] = {}
        self._early: dict[str, wire.LeavingItem] = {}
        self._by_service: dict[str, list[Upstream]] = {}
        self._grouped = -1

    def take_rows(
        self, rows: Iterable[platform.Vm], now: float, now_ms: int
    ) -> list[wire.LeavingItem]:
        """Takes in the VM list.

        Returns:
          News to spread: upstreams that the list shows as leaving or back.
        """
        news = []
        named = {row.name: row for row in rows if row.role == "upstream"}
        for row in named.values():
            item = self._take_row(row, now, now_ms)
            if item is not None:
                news.append(item)
        for name in set(self.upstreams) - set(named):
            del self.upstreams[name]
            self.version += 1
        return news

    def _take_row(
        self, row: platform.Vm, now: float, now_ms: int
    ) -> wire.LeavingItem | None:
        known = self.upstreams.get(row.name)
        leaving = row.state == platform.VmState.LEAVING
        if known is None:
            self.version += 1
            known = self.upstreams[row.name] = Upstream(
                row, leaving, now_ms, now
            )
            early = self._early.pop(row.name, None)
            if early is not None and not leaving:
                self.take_news(early, now)
            return None
        before, known.listed = known.listed, row
        if before.state == row.state or known.leaving == leaving:
            return None
        # Only a change in the list counts: a row that still says live may
        # just lag behind an upstream that has said that it leaves.
        item = wire.LeavingItem(row.name, now_ms, back=not leaving)
        return item if self.take_news(item, now) else None

    def take_news(self, item: wire.LeavingItem, now: float) -> bool:
        """Takes in news of an upstream; tells whether it was new."""
        known = self.upstreams.get(item.upstream)
        if known is None:
            before = self._early.get(item.upstream)
            if before is not None and before.stamp_ms >= item.stamp_ms:
                return False
            self._early[item.upstream] = item
            return True
        if item.stamp_ms <= known.stamp_ms:
            return False
        known.stamp_ms = item.stamp_ms
        if known.leaving and item.back:
            _hold_back(known, now)
        known.leaving = not item.back
        return True

    def note_leaving(
        self, name: str, leaving: bool, now: float, now_ms: int
    ) -> wire.LeavingItem | None:
        """Takes in what an upstream said of itself; returns news to spread."""
        known = self.upstreams.get(name)
        if known is None or known.leaving == leaving:
            return None
        stamp_ms = max(now_ms, known.stamp_ms + 1)
        item = wire.LeavingItem(name, stamp_ms, back=not leaving)
        self.take_news(item, now)
        return item

    def list_live(self, service: str, now: float) -> list[Upstream]:
        """Returns the upstreams of a service that may get new work."""
        if self._grouped != self.version:
            self._by_service.clear()
            for known in self.upstreams.values():
                group = self._by_service.setdefault(known.listed.service, [])
                group.append(known)
            self._grouped = self.version
        return [
            u
            for u in self._by_service.get(service, ())
            if not u.leaving and now >= u.held_until
        ]

    def find_live(self, name: str, now: float) -> Upstream | None:
        """Returns an upstream if it may get new work."""
        known = self.upstreams.get(name)
        if known is None or known.leaving or now < known.held_until:
            return None
        return known


def _hold_back(known: Upstream, now: float) -> None:
    if now - known.returned_at > FLAP_MEMORY_S:
        known.returns = 0
    hold_s = min(HOLD_MAX_S, HOLD_FIRST_S * 2**known.returns)
    known.returns += 1
    known.returned_at = now
    known.held_until = now + hold_s
