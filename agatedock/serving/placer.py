"""Places a request: asks owners of counts in the order of preference."""

from __future__ import annotations

import dataclasses

from agatedock import hashing
from agatedock.decisions import placement
from agatedock.domain import replicas
from agatedock.peers import reservations
from agatedock.views import reservation_table

# A part of fewer tokens is read in less time than a question takes.
PREFIX_LOOKUP_MIN_TOKENS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Placer:
    """Chooses replicas by what owners say, else by what is believed.

    Attributes:
      view: What this router believes.
      reservations: Knows the owners of the replicas' counts.
    """

    view: placement.FleetView
    reservations: reservations.ReservationService

    async def place(
        self, task: placement.Task, now: float
    ) -> placement.Placement | None:
        """Returns where a request goes, counted there; None if nowhere.

        Whoever calls this releases the count when the request is over.

        Args:
          task: The request and the replicas to choose from.
          now: Present time in seconds.
        """
        preferences = placement.build_preference_list(task, self.view, now)
        if preferences is None:
            return None
        choice = await self._reserve(task, preferences, now)
        try:
            await self._seek_part(task, choice.replica, now)
        except BaseException:
            self.reservations.release(choice.replica.replica_id)
            raise
        return placement.make_placement(
            preferences, choice, task, self.view, now
        )

    async def _reserve(
        self,
        task: placement.Task,
        preferences: placement.PreferenceList,
        now: float,
    ) -> placement.Choice:
        """Returns the replica that the request is counted at."""
        parts = _list_parts(task)
        first = preferences.replicas[0]
        sure = placement.can_skip_reservation(task, preferences, self.view, now)
        if (
            sure
            and self._holds_prompt(task, first, now)
            and self.reservations.is_owner_responsive(first.replica_id)
        ):
            running = self.view.loads.count_total(first.replica_id)
            self.reservations.reserve_in_background(
                first.replica_id,
                parts,
                lambda held: self._learn(first, held, now),
            )
            return placement.Choice(first, running, placement.Basis.REPORTED)
        return await self._ask_owners(task, preferences, parts, now)

    async def _ask_owners(
        self,
        task: placement.Task,
        preferences: placement.PreferenceList,
        parts: list[int],
        now: float,
    ) -> placement.Choice:
        """Asks for one replica after the other until one is granted."""
        refused: list[replicas.Replica] = []
        left = list(preferences.replicas)
        basis = placement.Basis.DENIED
        while left:
            replica = left[0]
            name = replica.replica_id
            reply = await self.reservations.reserve(
                name, preferences.max_running, parts
            )
            if reply is None:
                basis = placement.Basis.NO_REPLY
                break
            self._learn(replica, reply.cached_parts, now)
            if reply.granted:
                return placement.Choice(
                    replica,
                    reply.total_running - 1,
                    placement.Basis.OWNER,
                    len(refused),
                )
            refused.append(left.pop(0))
            if len(refused) == len(preferences.replicas):
                left = placement.list_spillover(
                    task, preferences, self.view, now
                )
        # If all are full, the one that was told to have the fewest.
        chosen = placement.choose_by_local_view(
            left or refused, preferences.max_running, self.view
        )
        running = self.view.loads.count_total(chosen.replica_id)
        self.reservations.reserve_unconditionally(chosen.replica_id, parts)
        return placement.Choice(chosen, running, basis, len(refused))

    def _holds_prompt(
        self, task: placement.Task, replica: replicas.Replica, now: float
    ) -> bool:
        """Tells whether a replica is known to hold what is worth holding."""
        shared = task.request.shared_parts
        if not shared or shared[-1].tokens < PREFIX_LOOKUP_MIN_TOKENS:
            return True
        readers = self.view.prefixes.list_holders(
            hashing.hash_name(shared[-1].part_id),
            now - reservation_table.PART_TTL_S,
        )
        return hashing.hash_name(replica.replica_id) in readers

    async def _seek_part(
        self, task: placement.Task, chosen: replicas.Replica, now: float
    ) -> None:
        """Finds out who else has read the longest shared part of a prompt."""
        if self._holds_prompt(task, chosen, now):
            return
        part = hashing.hash_name(task.request.shared_parts[-1].part_id)
        readers = await self.reservations.find_part_holders(
            part, chosen.replica_id
        )
        for reader in reversed(readers):
            self.view.prefixes.add_holder(part, reader, now)

    def _learn(
        self, replica: replicas.Replica, held: list[int], now: float
    ) -> None:
        number = hashing.hash_name(replica.replica_id)
        for part in held:
            self.view.prefixes.add_holder(part, number, now)


def _list_parts(task: placement.Task) -> list[int]:
    return [
        hashing.hash_name(part.part_id) for part in task.request.shared_parts
    ]
