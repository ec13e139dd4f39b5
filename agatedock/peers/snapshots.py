"""Copies of the source's listing, and what changed between two of them.

A source counts its changes, and each item bears the number of its last one. So
a copy is described by the number up to which it is complete, whoever it came
from, and a router that asks one peer after another gets changes from each.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import zlib

import msgspec

# Removals that are remembered; who missed more gets the whole listing.
REMOVALS_MAX = 2000


class Item(msgspec.Struct, array_like=True, frozen=True):
    """A stored value.

    Attributes:
      revision: Tells this value from others of its key.
      change_number: The source's count at its last change.
    """

    key: str
    value: bytes
    revision: int
    change_number: int


class Removal(msgspec.Struct, array_like=True, frozen=True):
    """A key that is gone.

    Attributes:
      last_change_number: Number of the last item that was seen of it.
      change_number: The source's count when it was gone, or a little later.
    """

    key: str
    last_change_number: int
    change_number: int


class Delta(msgspec.Struct, array_like=True, frozen=True):
    """What changed since a listing that the asking router has.

    Attributes:
      history_id: Names the count that all numbers belong to; empty if the
        answering router has no listing.
      complete_to: The listing that the delta leads to is complete up to it.
      latest_change: Nothing in that listing is newer.
      removals_known_from: Removals up to this number may be missing in it.
      digest: Of all keys of that listing.
      age_s: How long ago the source was asked for it.
      is_full: The delta holds all items and all removals that are remembered;
        what is not in it is gone.
      configuration: The newest one, if the asking router's is older.
    """

    history_id: str
    complete_to: int
    latest_change: int
    removals_known_from: int
    digest: int
    age_s: float
    is_full: bool
    items: list[Item]
    removals: list[Removal]
    configuration: Item | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """A listing that a router has: complete up to a number of a source."""

    history_id: str
    complete_to: int


EMPTY_POSITION = Position("", 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A listing as the source gave it, page by page.

    Attributes:
      history_id: Names the count that all numbers belong to.
      complete_to: All changes up to this number are in it.
      latest_change: No later change is in it.
    """

    history_id: str
    complete_to: int
    latest_change: int
    items: list[Item]


@dataclasses.dataclass(slots=True)
class Changes:
    """What a listing says that the one before did not.

    Attributes:
      removed_keys: Keys that are gone.
    """

    items: list[Item] = dataclasses.field(default_factory=list)
    removed_keys: list[str] = dataclasses.field(default_factory=list)


def has_same_revision(previous: Item, item: Item) -> bool:
    """Tells whether an item was not written again."""
    return previous.revision == item.revision


class ChangeCounter:
    """Counts the changes of a source that does not."""

    def __init__(self, history_id: str) -> None:
        """Builds a count.

        Args:
          history_id: Names this count.
        """
        self._history_id = history_id
        self._items: dict[str, Item] = {}
        self._latest_change = 0

    def make_snapshot(self, items: Iterable[Item]) -> Snapshot:
        """Returns a listing, asked for after the one before, with numbers."""
        listed = {item.key: item for item in items}
        change_number = self._latest_change + 1
        for key, item in listed.items():
            current = self._items.get(key)
            if current is None or not has_same_revision(current, item):
                listed[key] = msgspec.structs.replace(
                    item, change_number=change_number
                )
            else:
                listed[key] = current
        if listed != self._items:
            self._latest_change = change_number
        self._items = listed
        return Snapshot(
            self._history_id,
            self._latest_change,
            self._latest_change,
            list(listed.values()),
        )


class Listing:
    """A copy of the source's listing, and when each item of it changed."""

    def __init__(
        self, is_equivalent: Callable[[Item, Item], bool] = has_same_revision
    ) -> None:
        """Builds an empty copy.

        Args:
          is_equivalent: Tells whether an item, the latter, says nothing new.
        """
        self._is_equivalent = is_equivalent
        self._items: dict[str, Item] = {}
        self._removals: dict[str, Removal] = {}
        self._history_id = ""
        self._complete_to = 0
        # Removals up to this number may not be known.
        self._removals_known_from = 0
        # Of the last change that was taken.
        self._last_applied_change = 0
        # Nothing taken in is newer.
        self._latest_change = 0
        self._digest = 0
        self._diverged = False
        self._read_at = float("-inf")

    @property
    def read_at(self) -> float:
        """Returns when the source was asked for it, in seconds."""
        return self._read_at

    @property
    def position(self) -> Position:
        """Returns where changes are to be told from."""
        if self._diverged:
            return EMPTY_POSITION
        return Position(self._history_id, self._complete_to)

    @property
    def diverged(self) -> bool:
        """Tells whether the last delta led to another listing than the peer's.

        The next answer is to be the whole listing.
        """
        return self._diverged

    def list_items(self) -> list[Item]:
        """Returns all items."""
        return list(self._items.values())

    def load_snapshot(self, snapshot: Snapshot, read_at: float) -> Changes:
        """Learns a listing from the source itself.

        Args:
          snapshot: The listing.
          read_at: When the source was asked for it, in seconds.
        """
        if read_at < self._read_at:
            return Changes()
        if snapshot.history_id != self._history_id:
            changes = self._reset(snapshot.history_id, snapshot.items)
            self._removals_known_from = snapshot.complete_to
        else:
            changes = self._replace(
                snapshot.complete_to, snapshot.latest_change, snapshot.items
            )
        self._advance_position(
            snapshot.complete_to, snapshot.latest_change, read_at
        )
        self._diverged = False
        return changes

    def apply_delta(self, delta: Delta, read_at: float) -> Changes:
        """Learns what a peer told.

        Args:
          delta: What this copy lacked at its position.
          read_at: When the source was asked for the peer's listing, in seconds.
        """
        if not delta.history_id or read_at < self._read_at:
            return Changes()
        if delta.history_id != self._history_id:
            if not delta.is_full:
                # It answers a question that was asked from another position.
                return Changes()
            changes = self._reset(delta.history_id, delta.items)
            self._removals_known_from = delta.removals_known_from
            for removal in delta.removals:
                self._remove_key(removal, changes)
        elif delta.is_full:
            changes = self._replace(
                delta.complete_to, delta.latest_change, delta.items
            )
        else:
            changes = self._apply_changes(delta)
        self._advance_position(delta.complete_to, delta.latest_change, read_at)
        # A copy that is ahead of the peer's may well differ from it.
        same_position = self._complete_to == delta.complete_to
        self._diverged = same_position and self._digest != delta.digest
        return changes

    def _replace(
        self, complete_to: int, latest_change: int, items: Iterable[Item]
    ) -> Changes:
        """Learns all items of a listing that is complete up to a number."""
        changes = Changes()
        listed = set()
        for item in items:
            listed.add(item.key)
            self._put_item(item, changes)
        for key in self._items.keys() - listed:
            # What is newer than the listing may have come after it.
            last_change_number = self._items[key].change_number
            if last_change_number <= complete_to:
                self._remove_key(
                    Removal(
                        key,
                        last_change_number,
                        max(latest_change, last_change_number + 1),
                    ),
                    changes,
                )
        return changes

    def _reset(self, history_id: str, items: Iterable[Item]) -> Changes:
        """Learns the listing of a source whose numbers are others."""
        previous = self._items
        self._history_id = history_id
        self._items = {}
        self._removals = {}
        self._complete_to = self._last_applied_change = self._latest_change = (
            self._digest
        ) = 0
        all_changes = Changes()
        for item in items:
            self._put_item(item, all_changes)
        return Changes(
            items=[
                item
                for item in all_changes.items
                if item.key not in previous
                or not self._is_equivalent(previous[item.key], item)
            ],
            removed_keys=[key for key in previous if key not in self._items],
        )

    def _apply_changes(self, delta: Delta) -> Changes:
        changes = Changes()
        for item in delta.items:
            self._put_item(item, changes)
        for removal in delta.removals:
            self._remove_key(removal, changes)
        return changes

    def _put_item(self, item: Item, changes: Changes) -> None:
        current = self._items.get(item.key)
        if current is not None and (
            current.change_number >= item.change_number
            or self._is_equivalent(current, item)
        ):
            return
        removal = self._removals.get(item.key)
        if (
            removal is not None
            and item.change_number <= removal.last_change_number
        ):
            return
        if current is None:
            self._digest ^= _hash_key(item.key)
            self._removals.pop(item.key, None)
        self._items[item.key] = item
        self._last_applied_change = max(
            self._last_applied_change, item.change_number
        )
        changes.items.append(item)

    def _remove_key(self, removal: Removal, changes: Changes) -> None:
        current = self._items.get(removal.key)
        if current is not None:
            if current.change_number >= removal.change_number:
                # It was written again.
                return
            del self._items[removal.key]
            self._digest ^= _hash_key(removal.key)
            changes.removed_keys.append(removal.key)
        previous = self._removals.pop(removal.key, removal)
        latest = max(removal, previous, key=lambda item: item.change_number)
        self._removals[removal.key] = latest
        self._last_applied_change = max(
            self._last_applied_change, latest.change_number
        )
        while len(self._removals) > REMOVALS_MAX:
            oldest = next(iter(self._removals))
            dropped = self._removals.pop(oldest)
            self._removals_known_from = max(
                self._removals_known_from, dropped.change_number
            )

    def _advance_position(
        self, complete_to: int, latest_change: int, read_at: float
    ) -> None:
        self._complete_to = max(self._complete_to, complete_to)
        self._latest_change = max(
            self._latest_change, latest_change, self._last_applied_change
        )
        self._read_at = read_at

    def make_delta(self, position: Position, now: float) -> Delta:
        """Returns what a router at a position lacks."""
        is_full = (
            position.history_id != self._history_id
            or position.complete_to < self._removals_known_from
        )
        items: list[Item] = []
        removals: list[Removal] = []
        if is_full:
            items = list(self._items.values())
            removals = self._list_removals(0)
        elif position.complete_to < self._last_applied_change:
            items = [
                item
                for item in self._items.values()
                if item.change_number > position.complete_to
            ]
            removals = self._list_removals(position.complete_to)
        return Delta(
            history_id=self._history_id,
            complete_to=self._complete_to,
            latest_change=self._latest_change,
            removals_known_from=self._removals_known_from,
            digest=self._digest,
            age_s=now - self._read_at,
            is_full=is_full,
            items=items,
            removals=removals,
        )

    def _list_removals(self, after: int) -> list[Removal]:
        return [
            removal
            for removal in self._removals.values()
            if removal.change_number > after
        ]


def _hash_key(key: str) -> int:
    return zlib.crc32(key.encode())
