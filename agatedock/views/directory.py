"""The replicas of all services, from listings that may be late or missing."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses

from agatedock import hashing
from agatedock.domain import replicas
from agatedock.views import evacuations

# After a longer gap between listings the store is assumed to have been
# unreachable, so that entries may have expired although their replicas run.
LISTING_GAP_MAX_S = 2.5
# After such a gap, removed entries are kept for this long, in which live
# replicas register again.
EXPIRY_GRACE_S = 2.0
# Lifetimes that are remembered as draining; the oldest are dropped first.
DRAINING_LIFETIMES_MAX = 1000
# Lifetimes that are remembered as gone; the oldest are dropped first.
GONE_LIFETIMES_MAX = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class _DrainingNotice:
    """When a response first said that a run of a replica is draining.

    Attributes:
      at: In seconds of the router's clock.
      wall_ms: In Unix milliseconds of the router's VM.
    """

    at: float
    wall_ms: int


class Directory:
    """The replicas of all services, by id, hash and service.

    Attributes:
      told_draining: Replicas whose response said that they drain, for other
        routers; whoever tells them removes the replicas.
      evacuations: Failure domains whose replicas are not used.
    """

    def __init__(self) -> None:
        self.evacuations = evacuations.Evacuations()
        self._evacuations_version = 0
        self.told_draining: list[replicas.Replica] = []
        self._replicas: dict[str, replicas.Replica] = {}
        self._by_hash: dict[int, replicas.Replica] = {}
        self._by_service: dict[str, dict[str, replicas.Replica]] = {}
        # Cache of `list_usable`; invalidated when a replica of the service
        # changes.
        self._usable: dict[str, list[replicas.Replica]] = {}
        # Kept after the entry of the run was removed, as it may return.
        self._draining: dict[replicas.Lifetime, _DrainingNotice] = {}
        # Ids of replicas whose departure peers announced before the listing.
        self._announced: frozenset[str] = frozenset()
        # Ids whose entries were removed from the listing but are kept here
        # during the grace period.
        self._missing: set[str] = set()
        # Runs whose entries were removed, and the number of restores of the
        # store before that.
        self._gone: dict[replicas.Lifetime, int] = {}
        # Runs that only a copy of the store brought back, and the sequence
        # numbers of their entries then; not used until they write again.
        self._revived: dict[replicas.Lifetime, int] = {}
        self._restore_count = 0
        self._listed_at: float | None = None
        self._grace_until = float("-inf")

    def apply_changes(
        self,
        listed: Iterable[replicas.Replica],
        removed: Iterable[str],
        read_at: float,
        now: float,
    ) -> list[replicas.Replica]:
        """Applies the difference between a listing and the one before it.

        An entry that is older than the one already known is ignored. If a
        replica restarted under the same id, its former process counts as ended.

        Args:
          listed: Replicas with new or changed entries.
          removed: Ids of replicas whose entries were removed.
          read_at: When the store was read, in seconds.
          now: Present time in seconds.

        Returns:
          The replicas that ended.
        """
        before = self._listed_at
        if before is not None and read_at - before > LISTING_GAP_MAX_S:
            self._grace_until = now + EXPIRY_GRACE_S
        self._listed_at = read_at
        self._missing.update(removed)
        ended = []
        for replica in listed:
            self._missing.discard(replica.replica_id)
            current = self._replicas.get(replica.replica_id)
            if current is not None:
                if replica.is_older_than(current):
                    continue
                if current.started_at_ms != replica.started_at_ms:
                    ended.append(current)
                self._inherit_draining(current, replica, read_at)
                self._remove(current)
            self._check_revived(replica)
            self._add(replica)
        if now >= self._grace_until:
            ended += self._remove_missing(now)
        return ended

    def handle_restore(self, now: float) -> None:
        """Prepares for a listing of a store that was restored from a copy.

        Entries that the copy lacks are kept for the grace period, in which
        their replicas register again. Entries that it brings back are not used.
        """
        self._restore_count += 1
        self.evacuations.handle_restore(now)
        self._grace_until = now + EXPIRY_GRACE_S

    def awaits_update(self, replica_id: str) -> bool:
        """Returns whether any newer entry of a replica is of interest."""
        replica = self._replicas.get(replica_id)
        return replica is not None and replica.lifetime in self._revived

    def _check_revived(self, replica: replicas.Replica) -> None:
        """Records a run that a copy brought back, until it writes again."""
        lifetime = replica.lifetime
        sequence = self._revived.get(lifetime)
        if sequence is not None and replica.sequence > sequence:
            del self._revived[lifetime]
            self._gone.pop(lifetime, None)
        elif self._gone.get(lifetime, self._restore_count) < (
            self._restore_count
        ):
            self._revived.setdefault(lifetime, replica.sequence)

    def _record_gone(self, replica: replicas.Replica) -> None:
        self._revived.pop(replica.lifetime, None)
        if not replica.started_at_ms:
            # A later run could not be told from this one.
            return
        self._gone[replica.lifetime] = self._restore_count
        while len(self._gone) > GONE_LIFETIMES_MAX:
            del self._gone[next(iter(self._gone))]

    def _inherit_draining(
        self,
        previous: replicas.Replica,
        replica: replicas.Replica,
        read_at: float,
    ) -> None:
        """Marks a new run as draining if it was the one that said so.

        It was if it ran already at that time, at the same address: the store
        was read before, or the run had started shortly before.
        """
        notice = self._draining.get(previous.lifetime)
        if notice is None or previous.lifetime == replica.lifetime:
            return
        was_listed = notice.at > read_at and (
            previous.address == replica.address
        )
        if was_listed or replica.may_have_answered_for(
            previous.lifetime, notice.wall_ms
        ):
            self._record_draining(replica.lifetime, notice)

    def _remove_missing(self, now: float) -> list[replicas.Replica]:
        expired = [
            self._replicas[replica_id]
            for replica_id in self._missing
            if replica_id in self._replicas
        ]
        self._missing.clear()
        for replica in expired:
            self._remove(replica)
            self._record_gone(replica)
            if not replica.started_at_ms:
                # A later run could not be told from this one.
                self._draining.pop(replica.lifetime, None)
            elif replica.state is replicas.ReplicaState.DRAINING:
                self._record_draining(replica.lifetime, _DrainingNotice(now, 0))
        return expired

    def _add(self, replica: replicas.Replica) -> None:
        replica_id = replica.replica_id
        self._replicas[replica_id] = replica
        self._by_hash[hashing.hash_name(replica_id)] = replica
        service_replicas = self._by_service.setdefault(replica.service, {})
        service_replicas[replica_id] = replica
        self._usable.pop(replica.service, None)
        if replica.state is replicas.ReplicaState.DRAINING:
            # From here on its entry tells when it is usable again.
            self._draining.pop(replica.lifetime, None)

    def _remove(self, replica: replicas.Replica) -> None:
        del self._replicas[replica.replica_id]
        self._by_hash.pop(hashing.hash_name(replica.replica_id), None)
        service_replicas = self._by_service[replica.service]
        del service_replicas[replica.replica_id]
        if not service_replicas:
            del self._by_service[replica.service]
        self._usable.pop(replica.service, None)

    def mark_draining(
        self, replica: replicas.Replica, now: float, wall_ms: int
    ) -> bool:
        """Stops using a replica whose response says that it is draining.

        Only this run of the replica is meant, not a later one under its id or
        address. An entry that was written earlier does not bring it back.

        Args:
          replica: The replica that the request was sent to.
          now: Present time in seconds.
          wall_ms: Present time in Unix milliseconds.

        Returns:
          Whether it was still in use.
        """
        current = self._replicas.get(replica.replica_id)
        was_usable = current is not None and self.is_usable(current)
        notice = _DrainingNotice(now, wall_ms)
        self._record_draining(replica.lifetime, notice)
        if was_usable:
            self.told_draining.append(replica)
        # The listing may have shown a new run at this address before its
        # response arrived.
        if current is not None and current.address == replica.address:
            self._record_draining(current.lifetime, notice)
        return was_usable

    def _record_draining(
        self, lifetime: replicas.Lifetime, notice: _DrainingNotice
    ) -> None:
        self._draining.setdefault(lifetime, notice)
        while len(self._draining) > DRAINING_LIFETIMES_MAX:
            del self._draining[next(iter(self._draining))]
        replica = self._replicas.get(lifetime.replica_id)
        if replica is not None:
            self._usable.pop(replica.service, None)

    def is_usable(self, replica: replicas.Replica) -> bool:
        """Returns whether a replica still accepts new requests."""
        current = self._replicas.get(replica.replica_id)
        return (
            current is not None
            and current.lifetime == replica.lifetime
            and self._accepts_requests(current)
        )

    def _accepts_requests(self, replica: replicas.Replica) -> bool:
        return (
            replica.state is replicas.ReplicaState.READY
            and replica.lifetime not in self._draining
            and replica.lifetime not in self._revived
            and replica.replica_id not in self._announced
            and not self.evacuations.includes(replica.zone)
        )

    def set_announced_departures(self, replica_ids: Iterable[str]) -> None:
        """Replaces the replicas that peers announced as leaving or gone."""
        announced = frozenset(replica_ids)
        for replica_id in announced ^ self._announced:
            replica = self._replicas.get(replica_id)
            if replica is not None:
                self._usable.pop(replica.service, None)
        self._announced = announced

    def list_usable(self, service: str) -> list[replicas.Replica]:
        """Returns the replicas of a service that accept new requests."""
        if self._evacuations_version != self.evacuations.version:
            self._evacuations_version = self.evacuations.version
            self._usable.clear()
        usable = self._usable.get(service)
        if usable is None:
            usable = [
                replica
                for replica in self._by_service.get(service, {}).values()
                if self._accepts_requests(replica)
            ]
            self._usable[service] = usable
        return usable

    def list_all(self) -> list[replicas.Replica]:
        """Returns all known replicas in the order of their ids."""
        return [
            self._replicas[replica_id] for replica_id in sorted(self._replicas)
        ]

    def get(self, replica_id: str) -> replicas.Replica | None:
        """Returns a known replica, also one that is draining."""
        return self._replicas.get(replica_id)

    def is_ready(self, replica_id: str) -> bool:
        """Returns whether a replica is listed as accepting new requests."""
        replica = self._replicas.get(replica_id)
        return (
            replica is not None and replica.state is replicas.ReplicaState.READY
        )

    def list_domain(self, domain: str) -> list[replicas.Replica]:
        """Returns the known replicas of a failure domain."""
        return [item for item in self._replicas.values() if item.zone == domain]

    def is_missing(self, replica_id: str) -> bool:
        """Returns whether a removed entry is kept during the grace period."""
        return replica_id in self._missing

    def get_by_hash(self, replica_hash: int) -> replicas.Replica | None:
        """Returns a known replica by the hash of its id."""
        return self._by_hash.get(replica_hash)

    def count_told_draining(self) -> int:
        """Returns the listed replicas that only a response calls draining."""
        return sum(
            replica.lifetime in self._draining
            for replica in self._replicas.values()
        )

    def count(self) -> int:
        """Returns the number of known replicas."""
        return len(self._replicas)
