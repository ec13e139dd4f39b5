"""The replicas of all services, from listings that may be late or missing."""

from __future__ import annotations

from collections.abc import Iterable

from agatedock import hashing
from agatedock.domain import replicas

# After a longer gap between listings the store is assumed to have been
# unreachable, so that entries may have expired although their replicas run.
LISTING_GAP_MAX_S = 2.5
# After such a gap, removed entries are kept for this long, in which live
# replicas register again.
EXPIRY_GRACE_S = 2.0


class Directory:
    """The replicas of all services, by id, hash and service."""

    def __init__(self) -> None:
        self._replicas: dict[str, replicas.Replica] = {}
        self._by_hash: dict[int, replicas.Replica] = {}
        self._by_service: dict[str, dict[str, replicas.Replica]] = {}
        # Cache of `list_usable`; invalidated when a replica of the service
        # changes.
        self._usable: dict[str, list[replicas.Replica]] = {}
        # Replicas that announced their own draining, as they were listed at
        # that time.
        self._draining: dict[str, replicas.Replica] = {}
        # Ids of replicas whose departure peers announced before the listing.
        self._announced: frozenset[str] = frozenset()
        # Ids whose entries were removed from the listing but are kept here
        # during the grace period.
        self._missing: set[str] = set()
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
                self._remove(current)
            self._add(replica)
        if now >= self._grace_until:
            ended += self._remove_missing()
        return ended

    def _remove_missing(self) -> list[replicas.Replica]:
        expired = [
            self._replicas[replica_id]
            for replica_id in self._missing
            if replica_id in self._replicas
        ]
        self._missing.clear()
        for replica in expired:
            self._remove(replica)
        return expired

    def _add(self, replica: replicas.Replica) -> None:
        replica_id = replica.replica_id
        self._replicas[replica_id] = replica
        self._by_hash[hashing.hash_name(replica_id)] = replica
        service_replicas = self._by_service.setdefault(replica.service, {})
        service_replicas[replica_id] = replica
        self._usable.pop(replica.service, None)
        if self._draining.get(replica_id) != replica:
            self._draining.pop(replica_id, None)

    def _remove(self, replica: replicas.Replica) -> None:
        del self._replicas[replica.replica_id]
        self._by_hash.pop(hashing.hash_name(replica.replica_id), None)
        service_replicas = self._by_service[replica.service]
        del service_replicas[replica.replica_id]
        if not service_replicas:
            del self._by_service[replica.service]
        self._usable.pop(replica.service, None)

    def mark_draining(self, replica_id: str) -> None:
        """Stops using a replica that announced that it is draining.

        This lasts until its entry in the listing changes, so that a listing
        that lags behind does not bring it back.
        """
        current = self._replicas.get(replica_id)
        if current is not None:
            self._draining[replica_id] = current
            self._usable.pop(current.service, None)

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
        usable = self._usable.get(service)
        if usable is None:
            usable = [
                replica
                for replica_id, replica in self._by_service.get(
                    service, {}
                ).items()
                if replica.state is replicas.ReplicaState.READY
                and replica_id not in self._draining
                and replica_id not in self._announced
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

    def is_missing(self, replica_id: str) -> bool:
        """Returns whether a removed entry is kept during the grace period."""
        return replica_id in self._missing

    def get_by_hash(self, replica_hash: int) -> replicas.Replica | None:
        """Returns a known replica by the hash of its id."""
        return self._by_hash.get(replica_hash)

    def count(self) -> int:
        """Returns the number of known replicas."""
        return len(self._replicas)
