"""Local copies of the store's listing, and the deltas between them.

The store, or a `ChangeCounter` of the router that reads it, numbers changes,
and each item has the number of its last change. The numbers from one start of
the count to the next form a history, which has an id. The position of a copy is
the history and the change number up to which the copy is complete. It does not
depend on the router that the copy came from, so a router can request deltas
from one peer after another.

A store that is restored from a copy gives change numbers out again. So a
history also has an era, the number of the restore that began it, and a position
of a later era is newer whatever its change number is.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import zlib

import msgspec

# Removals kept in a listing. A router that missed more than these receives a
# full delta.
REMOVALS_MAX = 2000


class Item(msgspec.Struct, array_like=True, frozen=True):
    """A stored value.

    Attributes:
      key: Key in the store.
      value: Encoded value.
      revision: Differs from that of any other value of the key.
      change_number: Change number of its last change.
    """

    key: str
    value: bytes
    revision: int
    change_number: int


class Removal(msgspec.Struct, array_like=True, frozen=True):
    """A removed key.

    Attributes:
      key: Key in the store.
      last_change_number: Change number of the last item seen under the key.
      change_number: Change number of the removal, or a slightly later one.
    """

    key: str
    last_change_number: int
    change_number: int


class Delta(msgspec.Struct, array_like=True, frozen=True):
    """The changes between the requesting router's listing and the sender's.

    Attributes:
      history_id: Identifies the history that all change numbers belong to;
        empty if the sender has no listing.
      complete_to: Change number up to which the sender's listing is complete.
      latest_change: Upper bound of the change numbers in the sender's listing.
      removals_known_from: Removals up to this change number may be missing.
      digest: Digest of all keys of the sender's listing.
      age_s: Time since the listing was requested from the source, in seconds.
      is_full: Whether the delta contains all items and all kept removals, so
        that keys not in it are removed.
      items: Changed items, or all items of a full delta.
      removals: Removals since the requested position, or all kept ones.
      configuration: The newest configuration, if the requesting router's is
        older.
      era: Era of the history; 0 if unknown.
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
    era: int = 0

    @property
    def position(self) -> Position:
        """Returns the position of the sender's listing."""
        return Position(self.history_id, self.complete_to, self.era)


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """Position of a router's listing in a history of changes.

    Attributes:
      history_id: Identifies the history that the change number belongs to.
      complete_to: Change number up to which the listing is complete.
      era: Era of the history; 0 if unknown.
    """

    history_id: str
    complete_to: int
    era: int = 0

    def is_same_history(self, other: Position) -> bool:
        """Returns whether the change numbers of both can be compared."""
        return self.history_id == other.history_id

    def is_restored_since(self, other: Position) -> bool:
        """Returns whether the store was restored after the other position."""
        return 0 < other.era < self.era

    def reaches(self, other: Position) -> bool:
        """Returns whether a listing here includes the other position."""
        return self.is_same_history(other) and (
            self.complete_to >= other.complete_to
        )


EMPTY_POSITION = Position("", 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A listing read from the source, possibly in several pages.

    Attributes:
      history_id: Identifies the history that all change numbers belong to.
      complete_to: All changes up to this change number are included.
      latest_change: No changes after this change number are included.
      items: All items.
      era: Era of the history; 0 if unknown.
    """

    history_id: str
    complete_to: int
    latest_change: int
    items: list[Item]
    era: int = 0

    @property
    def position(self) -> Position:
        """Returns the position up to which the snapshot is complete."""
        return Position(self.history_id, self.complete_to, self.era)


@dataclasses.dataclass(slots=True)
class Changes:
    """Differences between a listing and the one before it.

    Attributes:
      items: New and changed items.
      removed_keys: Keys that were removed.
    """

    items: list[Item] = dataclasses.field(default_factory=list)
    removed_keys: list[str] = dataclasses.field(default_factory=list)


def has_same_value(previous: Item, item: Item) -> bool:
    """Returns whether an item does not differ from the previous one.

    A restored store may give the revision of one value to another.
    """
    return previous.revision == item.revision and previous.value == item.value


class ChangeCounter:
    """Assigns change numbers to the items of a source that has none."""

    def __init__(self, history_id: str) -> None:
        """Starts a history without changes.

        Args:
          history_id: Identifies this history.
        """
        self._history_id = history_id
        self._items: dict[str, Item] = {}
        self._latest_change = 0

    def make_snapshot(self, items: Iterable[Item]) -> Snapshot:
        """Returns a snapshot whose items have change numbers.

        Args:
          items: All items of the source, requested later than those of the
            previous call. Their change numbers are ignored.
        """
        listed = {item.key: item for item in items}
        change_number = self._latest_change + 1
        for key, item in listed.items():
            current = self._items.get(key)
            if current is None or not has_same_value(current, item):
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
    """A local copy of the source's listing with change numbers."""

    def __init__(
        self, is_equivalent: Callable[[Item, Item], bool] = has_same_value
    ) -> None:
        """Creates an empty copy.

        Args:
          is_equivalent: Returns whether the second item does not differ from
            the first in anything that routers use. Such changes are ignored.
        """
        self._is_equivalent = is_equivalent
        self._items: dict[str, Item] = {}
        self._removals: dict[str, Removal] = {}
        self._history_id = ""
        self._era = 0
        self._complete_to = 0
        # Earlier era of the last snapshot that was ignored for it.
        self._ignored_era: int | None = None
        # Removals up to this change number may not be known.
        self._removals_known_from = 0
        # Highest change number of the items and removals that were applied.
        self._last_applied_change = 0
        # Upper bound of the change numbers in this listing.
        self._latest_change = 0
        self._digest = 0
        self._diverged = False
        self._read_at = float("-inf")

    @property
    def read_at(self) -> float:
        """Returns the time, in seconds, at which the source was queried."""
        return self._read_at

    @property
    def position(self) -> Position:
        """Returns the position from which deltas are to be requested.

        After a divergence it is the empty one, which leads to a full delta.
        """
        return EMPTY_POSITION if self._diverged else self._reached

    @property
    def _reached(self) -> Position:
        return Position(self._history_id, self._complete_to, self._era)

    @property
    def era(self) -> int:
        """Returns the era of the listing; 0 if unknown."""
        return self._era

    @property
    def diverged(self) -> bool:
        """Returns whether the keys differed from the peer's after a delta.

        The next delta then has to be a full one.
        """
        return self._diverged

    def list_items(self) -> list[Item]:
        """Returns all items."""
        return list(self._items.values())

    def load_snapshot(self, snapshot: Snapshot, read_at: float) -> Changes:
        """Replaces the listing by a snapshot of the source.

        Args:
          snapshot: The snapshot.
          read_at: When it was requested from the source, in seconds.

        Returns:
          The changes; none if the snapshot is older than the listing.
        """
        if read_at < self._read_at or self._ignores(snapshot.position):
            return Changes()
        if snapshot.history_id != self._history_id:
            changes = self._reset(snapshot.position, snapshot.items)
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

    def _ignores(self, position: Position) -> bool:
        """Returns whether the source was read before the last restore.

        If a second snapshot has the same era, that of the listing was wrong.
        """
        is_earlier = self._reached.is_restored_since(position)
        ignores = is_earlier and self._ignored_era != position.era
        self._ignored_era = position.era if is_earlier else None
        return ignores

    def apply_delta(self, delta: Delta, read_at: float) -> Changes:
        """Applies a peer's delta and compares the digests afterwards.

        Args:
          delta: The changes since this listing's position.
          read_at: When the peer's listing was requested from the source, in
            seconds.

        Returns:
          The changes; none if the delta is older than the listing, empty, of an
          earlier era, or for another history without being full.
        """
        if not delta.history_id or read_at < self._read_at:
            return Changes()
        if self._reached.is_restored_since(delta.position):
            return Changes()
        if delta.history_id != self._history_id:
            if not delta.is_full:
                # The delta was requested at a position in another history.
                return Changes()
            changes = self._reset(delta.position, delta.items)
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
        # The digests are compared only at the same position, as a listing that
        # is ahead of the peer's may rightly differ from it.
        same_position = self._complete_to == delta.complete_to
        self._diverged = same_position and self._digest != delta.digest
        return changes

    def _replace(
        self, complete_to: int, latest_change: int, items: Iterable[Item]
    ) -> Changes:
        """Replaces the items, except those newer than the given ones.

        Args:
          complete_to: Change number up to which `items` is complete.
          latest_change: Upper bound of the change numbers in `items`.
          items: All items of the newer listing.
        """
        changes = Changes()
        listed = set()
        for item in items:
            listed.add(item.key)
            self._put_item(item, changes)
        for key in self._items.keys() - listed:
            # A newer item may have been written after the listing was read.
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

    def _reset(self, position: Position, items: Iterable[Item]) -> Changes:
        """Replaces the listing by one of another history.

        Returns:
          The items that are new or not equivalent, and the removed keys.
        """
        previous = self._items
        self._history_id = position.history_id
        self._era = position.era
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
                # The key was written again after the removal.
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
        """Returns the changes that a router at a position lacks.

        Args:
          position: Position of the requesting router's listing.
          now: Present time in seconds.

        Returns:
          A full delta if the position belongs to another history or is before
          the oldest removal that was kept.
        """
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
            era=self._era,
        )

    def _list_removals(self, after: int) -> list[Removal]:
        return [
            removal
            for removal in self._removals.values()
            if removal.change_number > after
        ]


def _hash_key(key: str) -> int:
    return zlib.crc32(key.encode())
