"""Asks the owners of replicas' counts, and keeps some of the counts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import functools
import logging
import secrets

from agatedock import addresses
from agatedock import hashing
from agatedock import logs
from agatedock.decisions import ownership
from agatedock.peers import endpoint
from agatedock.peers import gossip
from agatedock.peers import messages
from agatedock.views import loads
from agatedock.views import reservation_table
from agatedock.views import routers

_log = logging.getLogger(__name__)

_SENDER_ID_BITS = 32
_SEQUENCE_BITS = 31
# Between two looks at counts that are to be told again or have lapsed.
REFRESH_CHECK_S = 0.5
# A reservation that is always granted.
NO_LIMIT = 2**31 - 1
# An answer that nobody waits for is of no use later than this.
REPLY_MAX_AGE_S = 1.0


@dataclasses.dataclass(slots=True)
class _LastReservation:
    """The last reservation about a replica; `at` in seconds.

    Attributes:
      previous_owners: Owners that were told before, and until when they are told on.
    """

    sequence: int
    owner: int
    sent_at: float
    previous_owners: dict[int, float]


@dataclasses.dataclass(slots=True)
class _PendingReply:
    """An answer that nobody waits for; `at` in seconds.

    Attributes:
      running: This router's requests at the replica as they were told.
      on_cached_parts: Takes the parts that the replica holds.
    """

    replica_hash: int
    owner: int
    running: int
    on_cached_parts: Callable[[list[int]], None]
    sent_at: float


class ReservationService:
    """This router's reservations, and the ledger of those that it decides.

    Attributes:
      owner_timeouts: Questions to owners that brought no answer in time.
    """

    def __init__(
        self,
        peer_endpoint: endpoint.Endpoint,
        peers: gossip.Gossip,
        membership: routers.Routers,
        own_loads: loads.Loads,
        now: Callable[[], float],
    ) -> None:
        """Builds the part.

        Args:
          peer_endpoint: Sends and receives.
          peers: Knows the addresses of peers.
          membership: Routers that were heard lately.
          own_loads: What this router runs, and believes of others.
          now: The clock, in seconds.
        """
        self._peer_endpoint = peer_endpoint
        self._peers = peers
        self._membership = membership
        self._own_loads = own_loads
        self._now = now
        self._sender_id = secrets.randbits(_SENDER_ID_BITS)
        # A late answer to an earlier process must match no question here.
        self._sequence = secrets.randbits(_SEQUENCE_BITS)
        self._owners = ownership.Owners(peers.router_hash)
        self._membership_version = -1
        self._reply_futures: dict[int, asyncio.Future[messages.Reply]] = {}
        self._pending_replies: dict[int, _PendingReply] = {}
        self._last_reservations: dict[int, _LastReservation] = {}
        # Replicas whose counts changed when bytes were short.
        self._postponed: set[int] = set()
        self.table = reservation_table.ReservationTable()
        self.owner_timeouts = 0
        peer_endpoint.handlers[messages.Reservation] = self
        peer_endpoint.handlers[messages.PartLookup] = self
        peer_endpoint.handlers[messages.ReservationReply] = self
        peer_endpoint.handlers[messages.PartHolders] = self

    async def run(self) -> None:
        """Tells counts again and drops old ones until cancelled."""
        while True:
            await asyncio.sleep(REFRESH_CHECK_S)
            self.refresh(self._now())

    def refresh(self, now: float) -> None:
        """Tells counts that were not told lately; drops old ones."""
        self.table.expire_counts(now)
        self._own_loads.drop_expired(now)
        for sequence, pending in list(self._pending_replies.items()):
            if now - pending.sent_at > REPLY_MAX_AGE_S:
                del self._pending_replies[sequence]
        for replica_hash in list(self._postponed):
            self._report_count(replica_hash, now)
        for replica_hash, last in list(self._last_reservations.items()):
            if replica_hash in self._postponed:
                continue
            self._report_to_previous_owners(replica_hash, now)
            if not self._own_loads.count_own(replica_hash):
                del self._last_reservations[replica_hash]
                continue
            owner_changed = self._find_owner(replica_hash, now) != last.owner
            if (
                owner_changed
                or now - last.sent_at >= reservation_table.REFRESH_S
            ):
                self._report_count(replica_hash, now)

    async def reserve(
        self, replica_id: str, max_running: int, part_hashes: Sequence[int] = ()
    ) -> messages.ReservationReply | None:
        """Counts a request at a replica if its owner grants it.

        Args:
          replica_id: Where the request would be placed.
          max_running: Requests there at most, this one included.
          part_hashes: Short numbers of the shared parts of its prompt.

        Returns:
          The verdict; None if nobody answered, and nothing is counted then.
        """
        replica_hash = hashing.hash_name(replica_id)
        now = self._now()
        # Counted from here on: reservations side by side know each other.
        self._own_loads.begin(replica_id)
        reply = None
        try:
            reply = await self._request_reservation(
                replica_hash, max_running, part_hashes, now
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
                # A later reservation has counted this request in.
                self._report_count(replica_hash, self._now())
        own_running = self._own_loads.count_own(replica_hash)
        self._own_loads.record_others(
            replica_hash, reply.total_running - own_running, self._now()
        )
        return reply

    def reserve_unconditionally(
        self, replica_id: str, part_hashes: Sequence[int] = ()
    ) -> None:
        """Counts a request without asking."""
        self._own_loads.begin(replica_id)
        self._report_count(
            hashing.hash_name(replica_id), self._now(), part_hashes
        )

    def reserve_in_background(
        self,
        replica_id: str,
        part_hashes: Sequence[int],
        on_cached_parts: Callable[[list[int]], None],
    ) -> None:
        """Counts a request; what its owner answers is learned later.

        Args:
          replica_id: Where the request is placed.
          part_hashes: Short numbers of the shared parts of its prompt.
          on_cached_parts: Called with those of them that the replica holds.
        """
        self._own_loads.begin(replica_id)
        now = self._now()
        replica_hash = hashing.hash_name(replica_id)
        owner = self._find_owner(replica_hash, now)
        is_own = owner == self._peers.router_hash
        is_reachable = self._peers.get_socket_address(owner) is not None
        if not is_own and not (is_reachable and self._peer_endpoint.may_send()):
            self._report_count(replica_hash, now, part_hashes)
            return
        reservation = self._make_reservation(
            replica_hash, owner, now, NO_LIMIT, part_hashes
        )
        self._pending_replies[reservation.sequence] = _PendingReply(
            replica_hash, owner, reservation.running, on_cached_parts, now
        )
        reply = self._send_reservation(reservation, owner, now)
        if reply is not None:
            self._apply_background_reply(
                self._pending_replies.pop(reply.sequence), reply
            )

    def is_owner_responsive(self, replica_id: str) -> bool:
        """Tells whether the owner of a count answers, as far as is known.

        One that is paused or lost must not be gone by what it told before.
        """
        now = self._now()
        owner = self._find_owner(hashing.hash_name(replica_id), now)
        return not any(
            pending.owner == owner
            and now - pending.sent_at > ownership.REPLY_TIMEOUT_S
            for pending in self._pending_replies.values()
        )

    def _apply_background_reply(
        self, pending: _PendingReply, reply: messages.ReservationReply
    ) -> None:
        others = reply.total_running - pending.running
        self._own_loads.record_others(pending.replica_hash, others, self._now())
        pending.on_cached_parts(reply.cached_parts)

    def release(self, replica_id: str) -> None:
        """Counts a request as over."""
        self._own_loads.end(replica_id)
        self._report_count(hashing.hash_name(replica_id), self._now())

    async def _request_reservation(
        self,
        replica_hash: int,
        max_running: int,
        part_hashes: Sequence[int],
        now: float,
    ) -> messages.ReservationReply | None:
        owner = self._find_owner(replica_hash, now)
        make_message = functools.partial(
            self._make_reservation,
            replica_hash,
            owner,
            now,
            max_running,
            part_hashes,
        )
        if owner == self._peers.router_hash:
            return self.table.handle_reservation(make_message(), now)
        reply = await self._query_owner(make_message, owner)
        return reply if isinstance(reply, messages.ReservationReply) else None

    async def find_part_holders(
        self, part_hash: int, replica_id: str
    ) -> list[int]:
        """Tells the owner of a part that a replica is about to read it.

        Returns:
          Short numbers of other replicas that have, the latest first.
        """
        now = self._now()
        owner = self._find_owner(part_hash, now)
        make_message = functools.partial(
            self._make_lookup, part_hash, hashing.hash_name(replica_id)
        )
        if owner == self._peers.router_hash:
            return self.table.handle_lookup(make_message(), now).replica_hashes
        reply = await self._query_owner(make_message, owner)
        return (
            reply.replica_hashes
            if isinstance(reply, messages.PartHolders)
            else []
        )

    def _make_lookup(
        self, part_hash: int, replica_hash: int
    ) -> messages.PartLookup:
        self._sequence += 1
        return messages.PartLookup(self._sequence, part_hash, replica_hash)

    async def _query_owner(
        self,
        make_message: Callable[[], messages.Reservation | messages.PartLookup],
        owner: int,
    ) -> messages.Reply | None:
        """Asks an owner, twice if need be; returns None if it is silent."""
        now = self._now()
        address = self._peers.get_socket_address(owner)
        if address is None or not self._owners.may_query(now):
            return None
        if not self._peer_endpoint.may_send():
            return None
        loop = asyncio.get_running_loop()
        future: asyncio.Future[messages.Reply] = loop.create_future()
        sequences: list[int] = []

        def send_request() -> None:
            message = make_message()
            sequences.append(message.sequence)
            self._reply_futures[message.sequence] = future
            self._peer_endpoint.send(message, address)

        send_request()
        retransmission = loop.call_later(ownership.RETRANSMIT_S, send_request)
        try:
            async with asyncio.timeout(ownership.REPLY_TIMEOUT_S):
                reply = await future
        except TimeoutError:
            self.owner_timeouts += 1
            logs.event(_log, "owner_silent", owner=addresses.join(address))
            self._owners.record_timeout(owner, self._now())
            return None
        finally:
            retransmission.cancel()
            for sequence in sequences:
                del self._reply_futures[sequence]
        self._owners.record_reply(owner)
        return reply

    def _report_count(
        self, replica_hash: int, now: float, part_hashes: Sequence[int] = ()
    ) -> None:
        """Tells the owner of a replica's count how many run here.

        If bytes are short, that is done later.
        """
        if not self._peer_endpoint.may_send():
            self._postponed.add(replica_hash)
            return
        self._postponed.discard(replica_hash)
        owner = self._find_owner(replica_hash, now)
        reservation = self._make_reservation(
            replica_hash, owner, now, part_hashes=part_hashes
        )
        self._send_reservation(reservation, owner, now)
        self._report_to_previous_owners(replica_hash, now)

    def _report_to_previous_owners(self, replica_hash: int, now: float) -> None:
        """Tells those that kept a count before, as they may be asked again.

        Else they would go on counting requests that are over.
        """
        previous_owners = self._last_reservations[replica_hash].previous_owners
        for owner, until in list(previous_owners.items()):
            running = (
                self._own_loads.count_own(replica_hash) if now < until else 0
            )
            if not running:
                del previous_owners[owner]
            self._sequence += 1
            reservation = messages.Reservation(
                self._sender_id, self._sequence, replica_hash, running
            )
            self._send_reservation(reservation, owner, now)

    def _send_reservation(
        self, reservation: messages.Reservation, owner: int, now: float
    ) -> messages.ReservationReply | None:
        """Hands a reservation to its owner.

        Returns:
          The verdict if this router is the owner; others answer later, if at
          all.
        """
        if owner == self._peers.router_hash:
            return self.table.handle_reservation(reservation, now)
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
    ) -> messages.Reservation:
        self._sequence += 1
        previous_owners = self._update_previous_owners(replica_hash, owner, now)
        self._last_reservations[replica_hash] = _LastReservation(
            self._sequence, owner, now, previous_owners
        )
        running = self._own_loads.count_own(replica_hash)
        return messages.Reservation(
            self._sender_id,
            self._sequence,
            replica_hash,
            running,
            max_running,
            list(part_hashes),
        )

    def _update_previous_owners(
        self, replica_hash: int, owner: int, now: float
    ) -> dict[int, float]:
        """Notes an owner that is not asked any more.

        Returns:
          Who is told of a replica beside its owner, and until when.
        """
        last = self._last_reservations.get(replica_hash)
        if last is None:
            return {}
        if last.owner != owner:
            last.previous_owners[last.owner] = now + ownership.OWNER_SKIP_S
            last.previous_owners.pop(owner, None)
        return last.previous_owners

    def _find_owner(self, key_hash: int, now: float) -> int:
        if self._membership_version != self._membership.membership_version:
            self._membership_version = self._membership.membership_version
            self._owners.set_members(self._membership.list_hashes())
        return self._owners.find(key_hash, now)

    def handle_message(
        self, message: messages.Message, address: addresses.Address
    ) -> None:
        """Decides a reservation, takes a reading, or learns an answer."""
        if isinstance(message, messages.Reservation):
            reply = self.table.handle_reservation(message, self._now())
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
            future = self._reply_futures.get(message.sequence)
            if future is not None and not future.done():
                future.set_result(message)
