"""Places a request by reserving it with the owners of replicas' counts.

The owner of a replica's count is the router that counts all requests at that
replica. Owners are queried in the order of the preference list.
"""

from __future__ import annotations

import dataclasses

from agatedock import hashing
from agatedock.decisions import fleet_view
from agatedock.decisions import placement
from agatedock.domain import replicas
from agatedock.peers import reservations
from agatedock.views import reservation_table

# A replica processes a shorter prompt part faster than a lookup takes.
PREFIX_LOOKUP_MIN_TOKENS = 500
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Placer:
    """Chooses replicas by owners' replies, or else by the local view.

    Attributes:
      view: This router's local view of the fleet.
      reservations: Sends reservations and lookups to the owners.
    """

    view: fleet_view.FleetView
    reservations: reservations.ReservationService

    async def place(
        self, task: placement.Task, now: float
    ) -> placement.Placement | None:
        """Places a request and reserves it at the chosen replica.

        The caller releases the reservation when the request is over.

        Args:
          task: The request and the replicas to choose from.
          now: Present time in seconds.

        Returns:
          The placement; None if no replica is available or rate limits leave
          none.
        """
        preferences = placement.build_preference_list(task, self.view, now)
        if preferences is None:
            return None
        choice = await self._reserve(task, preferences, now)
        if choice is None:
            return None
        try:
            await self._look_up_holders(task, choice.replica, now)
        except BaseException:
            self.reservations.release(choice.replica.replica_id)
            raise
        chosen = placement.make_placement(
            preferences, choice, task, self.view, now
        )
        source = chosen.fetch_from
        limits = self.view.limits
        if source is not None and limits.get_rate(source, now) is not None:
            self.reservations.charge_fetch(source.replica_id)
        return chosen

    async def _reserve(
        self,
        task: placement.Task,
        preferences: placement.PreferenceList,
        now: float,
    ) -> placement.Choice | None:
        """Reserves the request at a replica of the preference list.

        If the local view is recent enough and shows enough capacity at the
        first one, the reservation is sent without waiting for the reply.
        Otherwise the owners are queried first.
        """
        part_hashes = _hash_parts(task)
        first = preferences.replicas[0]
        can_skip_reservation = placement.can_skip_reservation(
            task, preferences, self.view, now
        )
        if (
            can_skip_reservation
            and self._can_skip_lookup(task, first, now)
            and self.reservations.is_owner_responsive(first.replica_id)
        ):
            running = self.view.loads.count_total(first.replica_id)
            self.reservations.reserve_in_background(
                first.replica_id,
                part_hashes,
                lambda cached_parts: self._record_cached_parts(
                    first, cached_parts, now
                ),
            )
            return placement.Choice(first, running, placement.Basis.REPORTED)
        return await self._reserve_with_owners(
            task, preferences, part_hashes, now
        )

    async def _reserve_with_owners(
        self,
        task: placement.Task,
        preferences: placement.PreferenceList,
        part_hashes: list[int],
        now: float,
    ) -> placement.Choice | None:
        """Queries the owners in turn until one grants the reservation.

        If an owner does not reply within its timeout or all of them deny, the
        request is placed by the local view.

        Returns:
          The choice; None if rate limits leave no replica.
        """
        denied: list[replicas.Replica] = []
        candidates = list(preferences.replicas)
        basis = placement.Basis.DENIED
        while candidates:
            replica = candidates[0]
            reply = await self.reservations.reserve(
                replica.replica_id,
                preferences.max_running,
                part_hashes,
                task.rank,
            )
            if reply is None:
                basis = placement.Basis.NO_REPLY
                break
            self.view.limits.record_owner_reply(replica)
            self._record_cached_parts(replica, reply.cached_parts, now)
            if reply.granted:
                return placement.Choice(
                    replica,
                    reply.total_running - 1,
                    placement.Basis.OWNER,
                    len(denied),
                )
            if reply.wait_ms:
                self.view.limits.record_denial(
                    replica, reply.wait_ms / _MS_PER_S, now
                )
            denied.append(candidates.pop(0))
            if len(denied) == len(preferences.replicas):
                candidates = placement.list_spillover(
                    task, preferences, self.view, now
                )
        # If all are at capacity, this is the one with the lowest reported load.
        chosen = self._choose_by_local_view(
            candidates or denied, preferences, basis, now
        )
        if chosen is None:
            return None
        running = self.view.loads.count_total(chosen.replica_id)
        self.reservations.reserve_unconditionally(
            chosen.replica_id, part_hashes
        )
        return placement.Choice(chosen, running, basis, len(denied))

    def _choose_by_local_view(
        self,
        candidates: list[replicas.Replica],
        preferences: placement.PreferenceList,
        basis: placement.Basis,
        now: float,
    ) -> replicas.Replica | None:
        """Returns a replica that needs no grant; None if there is none.

        A replica with a rate limit of which only peers told is used if there is
        none without. One whose limit binds this router gets only this router's
        share of the rate, and only if its owner is silent and no other replica
        is left.
        """
        limits = self.view.limits
        unbound = [
            item for item in candidates if not limits.is_binding(item, now)
        ]
        unlimited = limits.list_unlimited(unbound, now)
        if unbound:
            return placement.choose_by_local_view(
                unlimited or unbound, preferences.max_running, self.view
            )
        if basis is placement.Basis.DENIED:
            return None
        router_count = self.reservations.count_routers()
        for replica in candidates:
            if limits.take_local_share(replica, router_count, now):
                return replica
        return None

    def _can_skip_lookup(
        self, task: placement.Task, replica: replicas.Replica, now: float
    ) -> bool:
        """Returns whether no lookup of the longest shared part is needed.

        None is needed if the replica is known to have the part in its cache, or
        if the part is too short.
        """
        shared_parts = task.request.shared_parts
        if (
            not shared_parts
            or shared_parts[-1].tokens < PREFIX_LOOKUP_MIN_TOKENS
        ):
            return True
        holders = self.view.prefixes.list_holders(
            hashing.hash_name(shared_parts[-1].part_id),
            now - reservation_table.PART_TTL_S,
        )
        return hashing.hash_name(replica.replica_id) in holders

    async def _look_up_holders(
        self, task: placement.Task, chosen: replicas.Replica, now: float
    ) -> None:
        """Looks up the holders of the longest shared part, unless not needed.

        Holders are the replicas with the part in their cache. They are recorded
        in the prefix index, the latest holder last.
        """
        if self._can_skip_lookup(task, chosen, now):
            return
        part_hash = hashing.hash_name(task.request.shared_parts[-1].part_id)
        holders = await self.reservations.find_part_holders(
            part_hash, chosen.replica_id
        )
        for holder in reversed(holders):
            self.view.prefixes.add_holder(part_hash, holder, now)

    def _record_cached_parts(
        self, replica: replicas.Replica, cached_parts: list[int], now: float
    ) -> None:
        replica_hash = hashing.hash_name(replica.replica_id)
        for part_hash in cached_parts:
            self.view.prefixes.add_holder(part_hash, replica_hash, now)


def _hash_parts(task: placement.Task) -> list[int]:
    return [
        hashing.hash_name(part.part_id) for part in task.request.shared_parts
    ]
