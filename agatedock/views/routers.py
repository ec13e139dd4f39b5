"""The other routers as their rows describe them."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools

import msgspec

from agatedock import hashing
from agatedock.peers import messages

# A router without a new row for this long is gone; rows take the longer to
# arrive the more routers there are.
SILENCE_MIN_S = 4.0
SILENCE_PER_ROUTER_S = 0.03
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Heard:
    """A router's latest row, when it came and when it was made, in seconds."""

    row: messages.Row
    at: float
    made_at: float


class Routers:
    """Latest rows by the short number of the router, the latest last."""

    def __init__(self) -> None:
        self._heard: collections.OrderedDict[int, Heard] = (
            collections.OrderedDict()
        )
        # Last rows of routers that were dropped: peers may still pass them on.
        self._dropped: dict[int, int] = {}
        self._running: collections.Counter[int] = collections.Counter()
        # Grows when a router comes or goes.
        self.changes = 0

    def take(self, row: messages.Row, now: float) -> bool:
        """Learns a row; returns whether its router was not known."""
        known = self._heard.get(row.router)
        if known is not None:
            if row.number <= known.row.number:
                return False
            self._running.subtract(known.row.running)
        else:
            if row.number <= self._dropped.get(row.router, -1):
                return False
            self._dropped.pop(row.router, None)
            self.changes += 1
        made_at = now - row.age_ms / _MS_PER_S
        self._heard[row.router] = Heard(row, now, made_at)
        self._heard.move_to_end(row.router)
        self._running.update(row.running)
        return known is None

    def drop_silent(self, now: float) -> list[int]:
        """Forgets routers that were silent; returns their numbers."""
        limit_s = SILENCE_MIN_S + SILENCE_PER_ROUTER_S * len(self._heard)
        silent = []
        for number, heard in self._heard.items():
            if now - heard.at <= limit_s:
                break
            silent.append(number)
        for number in silent:
            row = self._heard.pop(number).row
            self._dropped[number] = row.number
            self._running.subtract(row.running)
            self.changes += 1
        return silent

    def get(self, number: int) -> Heard | None:
        """Returns the latest row of a router."""
        return self._heard.get(number)

    def list_numbers(self) -> list[int]:
        """Returns the routers that were heard lately."""
        return list(self._heard)

    def list_newest(self, most: int, now: float) -> list[messages.Row]:
        """Returns the rows that came last, the latest first."""
        newest = itertools.islice(reversed(self._heard.values()), most)
        return [_set_age(heard, now) for heard in newest]

    def list_freshest(self, most: int, now: float) -> list[messages.Row]:
        """Returns the rows that were made last, the latest first."""
        freshest = heapq.nlargest(
            most, self._heard.values(), key=lambda heard: heard.made_at
        )
        return [_set_age(heard, now) for heard in freshest]

    def mean_age_s(self, now: float) -> float:
        """Returns how long ago the rows were made, 0 if there are none."""
        if not self._heard:
            return 0.0
        ages = [now - heard.made_at for heard in self._heard.values()]
        return sum(ages) / len(ages)

    def count(self) -> int:
        """Returns the number of routers heard lately."""
        return len(self._heard)

    def running(self, service: str) -> int:
        """Returns the running requests of a service at other routers."""
        return max(0, self._running[hashing.shorten(service)])


def _set_age(heard: Heard, now: float) -> messages.Row:
    """Returns a row as it is passed on."""
    age_ms = round((now - heard.made_at) * _MS_PER_S)
    return msgspec.structs.replace(heard.row, age_ms=age_ms)
