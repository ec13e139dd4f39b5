"""Reserves capacity at replicas through the owners of their counts.

One router, the owner, counts the running requests of all routers at a replica.
The other routers send it reservations and receive its replies. This module
sends reservations, reports changed counts, and replies to the reservations that
other routers send to this one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import functools
import secrets

import msgspec

from agatedock import addresses
from agatedock import hashing
from agatedock.decisions import ownership
from agatedock.decisions import rate_limits
from agatedock.peers import endpoint
from agatedock.peers import gossip
from agatedock.peers import messages
from agatedock.peers import owner_queries
from agatedock.peers import rate_limit_reports
from agatedock.views import loads
from agatedock.views import replica_limits
from agatedock.views import reservation_table
from agatedock.views import routers

_SENDER_ID_BITS = 32
# Interval between checks for counts that have expired or are due for a report.
REFRESH_CHECK_S = 0.5
# Value of `max_running` with which the owner grants every reservation.
NO_LIMIT = 2**31 - 1
# Replies to background reservations are discarded after this time.
REPLY_MAX_AGE_S = 1.0
_MILLI = 1000


@dataclasses.dataclass(slots=True)
class _LastReservation:
    """The last reservation that this router made for a replica.

    Attributes:
      sequence: Sequence number of the reservation.
      owner: Hash of the router that owned the replica's count.
      sent_at: Time of the reservation, in seconds.
      previous_owners: Routers that owned the count before, and the times, in
        seconds, until which they still receive reports.
    """

    sequence: int
    owner: int
    sent_at: float
    previous_owners: dict[int, float]


@dataclasses.dataclass(slots=True)
class _PendingReply:
    """A background reservation whose reply has not arrived.

    Attributes:
      replica_hash: Hash of the replica's id.
      owner: Hash of the router that owns the replica's count.
      running: This router's requests at the replica, as sent to the owner.
      on_cached_parts: Called with the hashes of the prompt parts that the
        replica has in its cache.
      sent_at: Time of the reservation, in seconds.
    """

    replica_hash: int
    owner: int
    running: int
    on_cached_parts: Callable[[list[int]], None]
    sent_at: float


class ReservationService:
    """Makes this router's reservations and replies to those of other routers.

    Attributes:
      table: Reservations at the replicas whose counts this router owns.
    """

    def __init__(
        self,
        peer_endpoint: endpoint.Endpoint,
        peers: gossip.Gossip,
        membership: routers.Routers,
        own_loads: loads.Loads,
        limits: replica_limits.ReplicaLimits,
        now: Callable[[], float],
    ) -> None:
        """Registers the service for its messages at the endpoint.

        Args:
          peer_endpoint: Sends and receives datagrams.
          peers: Supplies the addresses of peers.
          membership: The live routers, among which owners are chosen.
          own_loads: This router's running requests, and its local estimate of
            those of other routers.
          limits: The rate limits of replicas that this router knows.
          now: Returns the present time in seconds.
        """
        self._peer_endpoint = peer_endpoint
        self._peers = peers
        self._own_loads = own_loads
        self._limits = limits
        self._membership = membership
        self._now = now
        self._sender_id = secrets.randbits(_SENDER_ID_BITS)
        self._queries = owner_queries.OwnerQueries(
            peer_endpoint, peers, membership, now
        )
        self._pending_replies: dict[int, _PendingReply] = {}
        self._last_reservations: dict[int, _LastReservation] = {}
        # Replicas whose counts are to be reported when the bandwidth budget
        # allows it.
        self._postponed_reports: set[int] = set()
        self.table = reservation_table.ReservationTable()
        peer_endpoint.handlers[messages.Reservation] = self
        peer_endpoint.handlers[messages.PartLookup] = self
        peer_endpoint.handlers[messages.ReservationReply] = self
        peer_endpoint.handlers[messages.PartHolders] = self

    @property
    def owner_timeouts(self) -> int:
        """Returns the number of queries to owners that timed out."""
        return self._queries.timeouts

    async def run(self) -> None:
        """Refreshes counts periodically until cancelled."""
        while True:
            await asyncio.sleep(REFRESH_CHECK_S)
            self.refresh(self._now())

    def refresh(self, now: float) -> None:
        """Reports counts that are due and drops expired ones.

        A count is due if its report was postponed, its owner has changed, or
        its last report is older than `reservation_table.REFRESH_S`.
        """
        self.table.expire_counts(now)
        self._own_loads.drop_expired(now)
        for sequence, pending in list(self._pending_replies.items()):
            if now - pending.sent_at > REPLY_MAX_AGE_S:
                del self._pending_replies[sequence]
        for replica_hash in list(self._postponed_reports):
            self._report_count(replica_hash, now)
        for replica_hash, last in list(self._last_reservations.items()):
            if replica_hash in self._postponed_reports:
                continue
            self._report_to_previous_owners(replica_hash, now)
            if not self._own_loads.count_own(replica_hash):
                del self._last_reservations[replica_hash]
                continue
            owner_changed = (
                self._queries.find_owner(replica_hash, now) != last.owner
            )
            if (
                owner_changed
                or now - last.sent_at >= reservation_table.REFRESH_S
            ):
                self._report_count(replica_hash, now)

    async def reserve(
        self,
        replica_id: str,
        max_running: int,
        part_hashes: Sequence[int] = (),
        rank: int = 0,
    ) -> messages.ReservationReply | None:
        """Counts a request at a replica if the owner of the count grants it.

        Args:
          replica_id: Replica at which the request would be placed.
          max_running: Maximum of running requests at the replica, this one
            included.
          part_hashes: Hashes of the shared parts of the request's prompt.
          rank: Rank of the request; 0 is the highest.

        Returns:
          The owner's reply; None if it could not be queried or timed out.
          The request is counted only if the reply grants it.
        """
        replica_hash = hashing.hash_name(replica_id)
        now = self._now()
        # Counted before the owner replies, so that concurrent reservations of
        # this router include each other.
        self._own_loads.begin(replica_id)
        reply = None
        try:
            reply = await self._request_reservation(
                replica_hash, max_running, part_hashes, rank, now
            )
        finally:
            if reply is None:
                self.release(replica_id)
        if reply is None:
            return None
        if reply.granted:
            self._report_to_previous_owners(replica_hash, self._now())
        else:
            self._own_loads.end(replica_id)
            if self._last_reservations[replica_hash].sequence != reply.sequence:
                # A later reservation included this request; correct the count
                # that it reported.
                self._report_count(replica_hash, self._now())
        self._record_rate_limit(replica_hash, reply)
        own_running = self._own_loads.count_own(replica_hash)
        self._own_loads.record_others(
            replica_hash, reply.total_running - own_running, self._now()
        )
        return reply

    def reserve_unconditionally(
        self, replica_id: str, part_hashes: Sequence[int] = ()
    ) -> None:
        """Counts a request and reports it to the owner, without a limit."""
        self._own_loads.begin(replica_id)
        self._report_count(
            hashing.hash_name(replica_id),
            self._now(),
            part_hashes,
            is_placed=True,
        )

    def reserve_in_background(
        self,
        replica_id: str,
        part_hashes: Sequence[int],
        on_cached_parts: Callable[[list[int]], None],
    ) -> None:
        """Counts a request without waiting for the owner's reply.

        Args:
          replica_id: Replica at which the request is placed.
          part_hashes: Hashes of the shared parts of the request's prompt.
          on_cached_parts: Called when the reply arrives, with those of
            `part_hashes` that the replica has in its cache.
        """
        self._own_loads.begin(replica_id)
        now = self._now()
        replica_hash = hashing.hash_name(replica_id)
        owner = self._queries.find_owner(replica_hash, now)
        is_own = owner == self._peers.router_hash
        is_reachable = self._peers.get_socket_address(owner) is not None
        if not is_own and not (is_reachable and self._peer_endpoint.may_send()):
            self._report_count(replica_hash, now, part_hashes, is_placed=True)
            return
        reservation = self._make_reservation(
            replica_hash, owner, now, NO_LIMIT, part_hashes, is_placed=True
        )
        self._pending_replies[reservation.sequence] = _PendingReply(
            replica_hash, owner, reservation.running, on_cached_parts, now
        )
        reply = self._send_reservation(reservation, owner, now)
        if reply is not None:
            self._apply_background_reply(
                self._pending_replies.pop(reply.sequence), reply
            )

    def owns(self, name_hash: int) -> bool:
        """Returns whether this router owns a name among the live routers."""
        owner = self._queries.find_owner(name_hash, self._now())
        return owner == self._peers.router_hash

    def is_owner_responsive(self, replica_id: str) -> bool:
        """Returns whether no reply of a count's owner is overdue.

        Only replies to background reservations are considered. Counts that an
        owner reported before it was paused or lost must not be used for
        placement.
        """
        now = self._now()
        owner = self._queries.find_owner(hashing.hash_name(replica_id), now)
        return not any(
            pending.owner == owner
            and now - pending.sent_at > ownership.REPLY_TIMEOUT_S
            for pending in self._pending_replies.values()
        )

    def _apply_background_reply(
        self, pending: _PendingReply, reply: messages.ReservationReply
    ) -> None:
        self._record_rate_limit(pending.replica_hash, reply)
        others = reply.total_running - pending.running
        self._own_loads.record_others(pending.replica_hash, others, self._now())
        pending.on_cached_parts(reply.cached_parts)

    def _record_rate_limit(
        self, replica_hash: int, reply: messages.ReservationReply
    ) -> None:
        """Records what the owner knows of the rate limit of a replica."""
        now = self._now()
        observation = rate_limit_reports.decode(reply.rate_limit, now)
        if observation is not None:
            run_hash, _ = self._limits.describe(replica_hash)
            self._limits.record_report(replica_hash, run_hash, observation)

    def report_rate_limit(self, replica_id: str) -> None:
        """Tells the owner what this router knows of a replica's rate limit."""
        now = self._now()
        replica_hash = hashing.hash_name(replica_id)
        owner = self._queries.find_owner(replica_hash, now)
        reservation = self._make_reservation(replica_hash, owner, now)
        self._send_reservation(
            self._add_rate_limit(reservation, now), owner, now
        )

    def count_routers(self) -> int:
        """Returns the number of routers, live or listed."""
        return 1 + max(self._membership.count(), self._peers.count_listed())

    def charge_fetch(self, replica_id: str) -> None:
        """Charges a replica's rate limit for a fetch of cached parts."""
        self._report_count(
            hashing.hash_name(replica_id), self._now(), is_placed=True
        )

    def release(self, replica_id: str) -> None:
        """Removes a request from the count and reports that to the owner."""
        self._own_loads.end(replica_id)
        self._report_count(hashing.hash_name(replica_id), self._now())

    async def _request_reservation(
        self,
        replica_hash: int,
        max_running: int,
        part_hashes: Sequence[int],
        rank: int,
        now: float,
    ) -> messages.ReservationReply | None:
        owner = self._queries.find_owner(replica_hash, now)
        make_message = functools.partial(
            self._make_reservation,
            replica_hash,
            owner,
            now,
            max_running,
            part_hashes,
            rank,
        )
        if owner == self._peers.router_hash:
            if self._is_limited_without_owner(replica_hash, now):
                return None
            return self._apply_reservation(make_message(), now)
        reply = await self._queries.query(make_message, owner)
        return reply if isinstance(reply, messages.ReservationReply) else None

    def _is_limited_without_owner(self, replica_hash: int, now: float) -> bool:
        """Returns whether this router may not grant itself a limited replica.

        If owners are silent, each router would find itself the owner.
        """
        _, observation = self._limits.describe(replica_hash)
        is_limited = (
            observation is not None and observation.rate is not None
        ) or self._limits.get_cold_rate(replica_hash, now) is not None
        return is_limited and self._compute_rate_share(replica_hash) < 1.0

    def _apply_reservation(
        self,
        reservation: messages.Reservation,
        now: float,
        rate_share: float = 1.0,
    ) -> messages.ReservationReply | None:
        """Applies a reservation at a replica whose count this router owns."""
        cold_rate = self._limits.get_cold_rate(reservation.replica_hash, now)
        if cold_rate is None and reservation.cold_rate_milli:
            cold_rate = min(
                rate_limits.RATE_MAX_PER_S,
                max(0.0, reservation.cold_rate_milli / _MILLI),
            )
        return self.table.handle_reservation(
            reservation, now, rate_share, cold_rate
        )

    async def find_part_holders(
        self, part_hash: int, replica_id: str
    ) -> list[int]:
        """Returns other replicas that have a prompt part in their cache.

        The query also informs the owner of the part that the replica is about
        to load it.

        Args:
          part_hash: Hash of the prompt part.
          replica_id: Replica that is about to load the part.

        Returns:
          Hashes of the replicas' ids, the latest holder first; empty if the
          owner could not be queried or timed out.
        """
        now = self._now()
        owner = self._queries.find_owner(part_hash, now)
        make_message = functools.partial(
            self._make_lookup, part_hash, hashing.hash_name(replica_id)
        )
        if owner == self._peers.router_hash:
            return self.table.handle_lookup(make_message(), now).replica_hashes
        reply = await self._queries.query(make_message, owner)
        return (
            reply.replica_hashes
            if isinstance(reply, messages.PartHolders)
            else []
        )

    def _make_lookup(
        self, part_hash: int, replica_hash: int
    ) -> messages.PartLookup:
        return messages.PartLookup(
            self._queries.make_sequence(), part_hash, replica_hash
        )

    def _report_count(
        self,
        replica_hash: int,
        now: float,
        part_hashes: Sequence[int] = (),
        *,
        is_placed: bool = False,
    ) -> None:
        """Reports this router's count at a replica to the owner.

        The report is postponed if the bandwidth budget is spent.

        Args:
          replica_hash: Hash of the replica's id.
          now: Present time in seconds.
          part_hashes: Hashes of the shared parts of a placed request's prompt.
          is_placed: Whether a request was placed without a reservation.
        """
        if not self._peer_endpoint.may_send():
            self._postponed_reports.add(replica_hash)
            return
        self._postponed_reports.discard(replica_hash)
        owner = self._queries.find_owner(replica_hash, now)
        reservation = self._make_reservation(
            replica_hash,
            owner,
            now,
            part_hashes=part_hashes,
            is_placed=is_placed,
        )
        self._send_reservation(reservation, owner, now)
        self._report_to_previous_owners(replica_hash, now)

    def _report_to_previous_owners(self, replica_hash: int, now: float) -> None:
        """Reports this router's count at a replica to its previous owners.

        A previous owner may become the owner again. Without these reports it
        would still count requests that have ended. An owner receives a last
        report of 0 and is removed when no request is left or its time is over.
        """
        previous_owners = self._last_reservations[replica_hash].previous_owners
        for owner, until in list(previous_owners.items()):
            running = (
                self._own_loads.count_own(replica_hash) if now < until else 0
            )
            if not running:
                del previous_owners[owner]
            reservation = messages.Reservation(
                self._sender_id,
                self._queries.make_sequence(),
                replica_hash,
                running,
            )
            self._send_reservation(reservation, owner, now)

    def _send_reservation(
        self, reservation: messages.Reservation, owner: int, now: float
    ) -> messages.ReservationReply | None:
        """Sends a reservation to the owner, or applies it if that is this one.

        Returns:
          The reply if this router is the owner, otherwise None. The reply of
          another router arrives through `handle_message`.
        """
        if owner == self._peers.router_hash:
            return self._apply_reservation(reservation, now)
        address = self._peers.get_socket_address(owner)
        if address is not None:
            self._peer_endpoint.send(reservation, address)
        return None

    def _make_reservation(
        self,
        replica_hash: int,
        owner: int,
        now: float,
        max_running: int = 0,
        part_hashes: Sequence[int] = (),
        rank: int = 0,
        *,
        is_placed: bool = False,
    ) -> messages.Reservation:
        sequence = self._queries.make_sequence()
        previous_owners = self._update_previous_owners(replica_hash, owner, now)
        self._last_reservations[replica_hash] = _LastReservation(
            sequence, owner, now, previous_owners
        )
        running = self._own_loads.count_own(replica_hash)
        reservation = messages.Reservation(
            self._sender_id,
            sequence,
            replica_hash,
            running,
            max_running,
            list(part_hashes),
            rank=rank,
            is_placed=is_placed,
        )
        if max_running or is_placed:
            return self._add_rate_limit(reservation, now)
        return reservation

    def _add_rate_limit(
        self, reservation: messages.Reservation, now: float
    ) -> messages.Reservation:
        """Returns a reservation with what is known of the rate limits."""
        replica_hash = reservation.replica_hash
        run_hash, observation = self._limits.describe(replica_hash)
        cold_rate = self._limits.get_cold_rate(replica_hash, now)
        return msgspec.structs.replace(
            reservation,
            run_hash=run_hash,
            rate_limit=rate_limit_reports.encode(observation, now),
            cold_rate_milli=(
                0 if cold_rate is None else max(1, round(cold_rate * _MILLI))
            ),
        )

    def _update_previous_owners(
        self, replica_hash: int, owner: int, now: float
    ) -> dict[int, float]:
        """Records the last owner of a count as a previous one if it changed.

        Args:
          replica_hash: Hash of the replica's id.
          owner: Hash of the present owner.
          now: Present time in seconds.

        Returns:
          The previous owners, and the times, in seconds, until which they
          still receive reports.
        """
        last = self._last_reservations.get(replica_hash)
        if last is None:
            return {}
        if last.owner != owner:
            last.previous_owners[last.owner] = now + ownership.OWNER_SKIP_S
            last.previous_owners.pop(owner, None)
        return last.previous_owners

    def handle_message(
        self, message: messages.Message, address: addresses.Address
    ) -> None:
        """Replies to a reservation or part lookup, or handles a reply."""
        if isinstance(message, messages.Reservation):
            reply = self._handle_reservation(message, self._now())
            if reply is not None:
                self._peer_endpoint.send(reply, address)
        elif isinstance(message, messages.PartLookup):
            holders = self.table.handle_lookup(message, self._now())
            self._peer_endpoint.send(holders, address)
        elif isinstance(message, messages.Reply):
            pending = self._pending_replies.pop(message.sequence, None)
            if pending is not None and isinstance(
                message, messages.ReservationReply
            ):
                self._apply_background_reply(pending, message)
                return
            self._queries.handle_reply(message)

    def _handle_reservation(
        self, reservation: messages.Reservation, now: float
    ) -> messages.ReservationReply | None:
        """Applies another router's reservation; returns the reply, if any."""
        observation = rate_limit_reports.decode(reservation.rate_limit, now)
        if observation is not None:
            self._limits.record_report(
                reservation.replica_hash, reservation.run_hash, observation
            )
        share = self._compute_rate_share(reservation.replica_hash)
        return self._apply_reservation(reservation, now, share)

    def _compute_rate_share(self, replica_hash: int) -> float:
        """Returns the part of a replica's rate limit that is granted here."""
        return rate_limits.compute_share(
            self._queries.is_first_owner(replica_hash),
            self._membership.count(),
            self._peers.count_listed(),
        )
