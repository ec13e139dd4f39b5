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
from agatedock.views import ledger
from agatedock.views import loads
from agatedock.views import routers

_log = logging.getLogger(__name__)

_SENDER_BITS = 32
_NUMBER_BITS = 31
# Between two looks at counts that are to be told again or have lapsed.
CHECK_S = 0.5
# A reservation that is always granted.
NO_LIMIT = 2**31 - 1
# An answer that nobody waits for is of no use later than this.
REPORT_S = 1.0


@dataclasses.dataclass(slots=True)
class _Told:
    """The last reservation about a replica; `at` in seconds.

    Attributes:
      former: Owners that were told before, and until when they are told on.
    """

    number: int
    owner: int
    at: float
    former: dict[int, float]


@dataclasses.dataclass(slots=True)
class _Report:
    """An answer that nobody waits for; `at` in seconds.

    Attributes:
      count: This router's requests at the replica as they were told.
      learn: Takes the parts that the replica holds.
    """

    replica: int
    owner: int
    count: int
    learn: Callable[[list[int]], None]
    at: float


class Counting:
    """This router's reservations, and the ledger of those that it decides.

    Attributes:
      unanswered: Questions to owners that brought no answer in time.
    """

    def __init__(
        self,
        wire: endpoint.Endpoint,
        peers: gossip.Gossip,
        alive: routers.Routers,
        counts: loads.Loads,
        now: Callable[[], float],
    ) -> None:
        """Builds the part.

        Args:
          wire: Sends and receives.
          peers: Knows the addresses of peers.
          alive: Routers that were heard lately.
          counts: What this router runs, and believes of others.
          now: The clock, in seconds.
        """
        self._wire = wire
        self._peers = peers
        self._alive = alive
        self._counts = counts
        self._now = now
        self._sender = secrets.randbits(_SENDER_BITS)
        # A late answer to an earlier process must match no question here.
        self._number = secrets.randbits(_NUMBER_BITS)
        self._owners = ownership.Owners(peers.number)
        self._members_seen = -1
        self._awaited: dict[int, asyncio.Future[messages.Answer]] = {}
        self._reports: dict[int, _Report] = {}
        self._told: dict[int, _Told] = {}
        # Replicas whose counts changed when bytes were short.
        self._untold: set[int] = set()
        self.ledger = ledger.ReservationTable()
        self.unanswered = 0
        wire.handlers[messages.Reservation] = self
        wire.handlers[messages.Reading] = self
        wire.handlers[messages.Verdict] = self
        wire.handlers[messages.Readers] = self

    async def run(self) -> None:
        """Tells counts again and drops old ones until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            self.step(self._now())

    def step(self, now: float) -> None:
        """Tells counts that were not told lately; drops old ones."""
        self.ledger.expire_counts(now)
        self._counts.drop_expired(now)
        for number, report in list(self._reports.items()):
            if now - report.at > REPORT_S:
                del self._reports[number]
        for replica in list(self._untold):
            self._tell(replica, now)
        for replica, told in list(self._told.items()):
            if replica in self._untold:
                continue
            self._tell_former(replica, now)
            if not self._counts.count_own(replica):
                del self._told[replica]
                continue
            moved = self._find_owner(replica, now) != told.owner
            if moved or now - told.at >= ledger.REFRESH_S:
                self._tell(replica, now)

    async def reserve(
        self, replica_id: str, most: int, parts: Sequence[int] = ()
    ) -> messages.Verdict | None:
        """Counts a request at a replica if its owner grants it.

        Args:
          replica_id: Where the request would be placed.
          most: Requests there at most, this one included.
          parts: Short numbers of the shared parts of its prompt.

        Returns:
          The verdict; None if nobody answered, and nothing is counted then.
        """
        replica = hashing.hash_name(replica_id)
        now = self._now()
        # Counted from here on: reservations side by side know each other.
        self._counts.begin(replica_id)
        verdict = None
        try:
            verdict = await self._ask(replica, most, parts, now)
        finally:
            if verdict is None:
                self.release(replica_id)
        if verdict is None:
            return None
        if verdict.granted:
            self._tell_former(replica, self._now())
        else:
            self._counts.end(replica_id)
            if self._told[replica].number != verdict.number:
                # A later reservation has counted this request in.
                self._tell(replica, self._now())
        own = self._counts.count_own(replica)
        self._counts.record_others(replica, verdict.total - own, self._now())
        return verdict

    def count(self, replica_id: str, parts: Sequence[int] = ()) -> None:
        """Counts a request without asking."""
        self._counts.begin(replica_id)
        self._tell(hashing.hash_name(replica_id), self._now(), parts)

    def announce(
        self,
        replica_id: str,
        parts: Sequence[int],
        learn: Callable[[list[int]], None],
    ) -> None:
        """Counts a request; what its owner answers is learned later.

        Args:
          replica_id: Where the request is placed.
          parts: Short numbers of the shared parts of its prompt.
          learn: Called with those of them that the replica holds.
        """
        self._counts.begin(replica_id)
        now = self._now()
        replica = hashing.hash_name(replica_id)
        owner = self._find_owner(replica, now)
        itself = owner == self._peers.number
        known = self._peers.get_address(owner) is not None
        if not itself and not (known and self._wire.may_send()):
            self._tell(replica, now, parts)
            return
        reservation = self._make_reservation(
            replica, owner, now, NO_LIMIT, parts
        )
        self._reports[reservation.number] = _Report(
            replica, owner, reservation.count, learn, now
        )
        verdict = self._deliver(reservation, owner, now)
        if verdict is not None:
            self._take_report(self._reports.pop(verdict.number), verdict)

    def is_answered(self, replica_id: str) -> bool:
        """Tells whether the owner of a count answers, as far as is known.

        One that is paused or lost must not be gone by what it told before.
        """
        now = self._now()
        owner = self._find_owner(hashing.hash_name(replica_id), now)
        return not any(
            report.owner == owner
            and now - report.at > ownership.REPLY_TIMEOUT_S
            for report in self._reports.values()
        )

    def _take_report(self, report: _Report, verdict: messages.Verdict) -> None:
        others = verdict.total - report.count
        self._counts.record_others(report.replica, others, self._now())
        report.learn(verdict.held)

    def release(self, replica_id: str) -> None:
        """Counts a request as over."""
        self._counts.end(replica_id)
        self._tell(hashing.hash_name(replica_id), self._now())

    async def _ask(
        self, replica: int, most: int, parts: Sequence[int], now: float
    ) -> messages.Verdict | None:
        owner = self._find_owner(replica, now)
        make = functools.partial(
            self._make_reservation, replica, owner, now, most, parts
        )
        if owner == self._peers.number:
            return self.ledger.handle_reservation(make(), now)
        answer = await self._send_and_wait(make, owner)
        return answer if isinstance(answer, messages.Verdict) else None

    async def seek_readers(self, part: int, replica_id: str) -> list[int]:
        """Tells the owner of a part that a replica is about to read it.

        Returns:
          Short numbers of other replicas that have, the latest first.
        """
        now = self._now()
        owner = self._find_owner(part, now)
        make = functools.partial(
            self._make_reading, part, hashing.hash_name(replica_id)
        )
        if owner == self._peers.number:
            return self.ledger.handle_lookup(make(), now).replicas
        answer = await self._send_and_wait(make, owner)
        return answer.replicas if isinstance(answer, messages.Readers) else []

    def _make_reading(self, part: int, replica: int) -> messages.Reading:
        self._number += 1
        return messages.Reading(self._number, part, replica)

    async def _send_and_wait(
        self,
        make: Callable[[], messages.Reservation | messages.Reading],
        owner: int,
    ) -> messages.Answer | None:
        """Asks an owner, twice if need be; returns None if it is silent."""
        now = self._now()
        address = self._peers.get_address(owner)
        if address is None or not self._owners.may_query(now):
            return None
        if not self._wire.may_send():
            return None
        loop = asyncio.get_running_loop()
        awaited: asyncio.Future[messages.Answer] = loop.create_future()
        numbers: list[int] = []

        def ask() -> None:
            message = make()
            numbers.append(message.number)
            self._awaited[message.number] = awaited
            self._wire.send(message, address)

        ask()
        again = loop.call_later(ownership.RETRANSMIT_S, ask)
        try:
            async with asyncio.timeout(ownership.REPLY_TIMEOUT_S):
                answer = await awaited
        except TimeoutError:
            self.unanswered += 1
            logs.event(_log, "owner_silent", owner=addresses.join(address))
            self._owners.record_timeout(owner, self._now())
            return None
        finally:
            again.cancel()
            for number in numbers:
                del self._awaited[number]
        self._owners.record_reply(owner)
        return answer

    def _tell(
        self, replica: int, now: float, parts: Sequence[int] = ()
    ) -> None:
        """Tells the owner of a replica's count how many run here.

        If bytes are short, that is done later.
        """
        if not self._wire.may_send():
            self._untold.add(replica)
            return
        self._untold.discard(replica)
        owner = self._find_owner(replica, now)
        reservation = self._make_reservation(replica, owner, now, parts=parts)
        self._deliver(reservation, owner, now)
        self._tell_former(replica, now)

    def _tell_former(self, replica: int, now: float) -> None:
        """Tells those that kept a count before, as they may be asked again.

        Else they would go on counting requests that are over.
        """
        former = self._told[replica].former
        for owner, until in list(former.items()):
            running = self._counts.count_own(replica) if now < until else 0
            if not running:
                del former[owner]
            self._number += 1
            reservation = messages.Reservation(
                self._sender, self._number, replica, running
            )
            self._deliver(reservation, owner, now)

    def _deliver(
        self, reservation: messages.Reservation, owner: int, now: float
    ) -> messages.Verdict | None:
        """Hands a reservation to its owner.

        Returns:
          The verdict if this router is the owner; others answer later, if at
          all.
        """
        if owner == self._peers.number:
            return self.ledger.handle_reservation(reservation, now)
        address = self._peers.get_address(owner)
        if address is not None:
            self._wire.send(reservation, address)
        return None

    def _make_reservation(
        self,
        replica: int,
        owner: int,
        now: float,
        most: int = 0,
        parts: Sequence[int] = (),
    ) -> messages.Reservation:
        self._number += 1
        former = self._note_former(replica, owner, now)
        self._told[replica] = _Told(self._number, owner, now, former)
        count = self._counts.count_own(replica)
        return messages.Reservation(
            self._sender, self._number, replica, count, most, list(parts)
        )

    def _note_former(
        self, replica: int, owner: int, now: float
    ) -> dict[int, float]:
        """Notes an owner that is not asked any more.

        Returns:
          Who is told of a replica beside its owner, and until when.
        """
        told = self._told.get(replica)
        if told is None:
            return {}
        if told.owner != owner:
            told.former[told.owner] = now + ownership.OWNER_SKIP_S
            told.former.pop(owner, None)
        return told.former

    def _find_owner(self, replica: int, now: float) -> int:
        if self._members_seen != self._alive.membership_version:
            self._members_seen = self._alive.membership_version
            self._owners.set_members(self._alive.list_hashes())
        return self._owners.find(replica, now)

    def take_message(
        self, message: messages.Message, address: addresses.Address
    ) -> None:
        """Decides a reservation, takes a reading, or learns an answer."""
        if isinstance(message, messages.Reservation):
            verdict = self.ledger.handle_reservation(message, self._now())
            if verdict is not None:
                self._wire.send(verdict, address)
        elif isinstance(message, messages.Reading):
            readers = self.ledger.handle_lookup(message, self._now())
            self._wire.send(readers, address)
        elif isinstance(message, messages.Answer):
            report = self._reports.pop(message.number, None)
            if report is not None and isinstance(message, messages.Verdict):
                self._take_report(report, message)
                return
            awaited = self._awaited.get(message.number)
            if awaited is not None and not awaited.done():
                awaited.set_result(message)
