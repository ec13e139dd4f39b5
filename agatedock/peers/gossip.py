"""Spreads what routers say of themselves, at a cost that stays the same.

Each router tells one peer at a time, in a random order, its own row and the
latest rows that it knows. A part of the bytes is theirs whatever questions
cost: when traffic rises, the mean must be known before it can be kept to. Bytes
and processor time do not grow with the number of routers; rows are older in a
larger fleet.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import logging
import random

from agatedock import addresses
from agatedock import hashing
from agatedock import logs
from agatedock.peers import endpoint
from agatedock.peers import messages
from agatedock.views import routers

_log = logging.getLogger(__name__)

# Left for reservations of a burst of requests.
RESERVE_BYTES = endpoint.BYTES_SAVED_MAX / 2
# Messages come in two sizes. Many short ones keep rows fresh for as many bytes
# as few long ones; long ones bring what is new to all of a large fleet.
# Between two messages of a size if bytes are left, and else; rows of other
# routers in it.
SHORT_S = 0.05
SHORT_MAX_S = 0.1
SHORT_ROWS = 6
LONG_S = 0.2
LONG_MAX_S = 0.6
LONG_ROWS = 24


# Start of 2026 in Unix milliseconds.
_NUMBERS_SINCE_MS = 1_767_225_600_000
# Less than SHORT_S.
_MS_PER_NUMBER = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """A router that was heard lately.

    Attributes:
      zone: Its failure domain.
      link_mbps: Speed of its VM's link.
      revision: Of the configuration in force there.
      heard_at: When, in seconds.
    """

    name: str
    zone: str
    link_mbps: int
    revision: int
    heard_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Which router this is.

    Attributes:
      zone: Its failure domain.
      link_mbps: Speed of its VM's link.
      started_at_ms: Unix time, so that rows after a restart are newer.
    """

    name: str
    zone: str
    link_mbps: int
    started_at_ms: int


def _make_first_number(started_at_ms: int) -> int:
    """Returns a row number above those of earlier starts.

    It grows faster than a running router's rows, and is short on the wire.
    """
    return max(0, started_at_ms - _NUMBERS_SINCE_MS) // _MS_PER_NUMBER


class Gossip:
    """Exchange of rows with peers."""

    def __init__(
        self,
        identity: Identity,
        wire: endpoint.Endpoint,
        view: routers.Routers,
        list_listed: Callable[[], Mapping[str, str]],
        get_revision: Callable[[], int],
        list_running: Callable[[], Mapping[str, int]],
        now: Callable[[], float],
    ) -> None:
        """Builds the part.

        Args:
          identity: This router.
          wire: Sends and receives.
          view: Learns the rows.
          list_listed: Returns the addresses of the routers that are listed.
          get_revision: Returns the revision of the configuration in force.
          list_running: Returns this router's running requests by service.
          now: The clock, in seconds.
        """
        self.name = identity.name
        self.link_mbps = identity.link_mbps
        self.number = hashing.hash_name(identity.name)
        self._zone = identity.zone
        self._wire = wire
        self._view = view
        self._list_listed = list_listed
        self._get_revision = get_revision
        self._list_running = list_running
        self._now = now
        self._row_number = _make_first_number(identity.started_at_ms)
        # Peers that were not told in this round.
        self._round: list[int] = []
        self._short_at = float("-inf")
        self._long_at = float("-inf")
        self._random = random.Random(identity.name)
        # The listing that names and addresses were made from.
        self._listed: Mapping[str, str] = {}
        self._names: dict[int, str] = {}
        self._addresses: dict[int, addresses.Address] = {}
        wire.handlers[messages.News] = self

    async def run(self) -> None:
        """Tells peers until cancelled."""
        while True:
            await asyncio.sleep(SHORT_S)
            self.step(self._now())

    def step(self, now: float) -> None:
        """Forgets silent peers and tells one other."""
        for number in self._view.drop_timed_out(now):
            name = self._names.get(number, str(number))
            logs.event(_log, "peer_lost", logging.WARNING, peer=name)
        self._read_listing()
        if not self._addresses:
            return
        if self._is_due(self._long_at, LONG_S, LONG_MAX_S, now):
            self._long_at = now
            self._tell(self._view.list_last_received(LONG_ROWS, now))
        elif self._is_due(self._short_at, SHORT_S, SHORT_MAX_S, now):
            self._short_at = now
            self._tell(self._view.list_last_created(SHORT_ROWS, now))

    def _is_due(
        self, at: float, period_s: float, period_max_s: float, now: float
    ) -> bool:
        # Timers fire a little early or late.
        passed_s = now - at + SHORT_S / 2
        if passed_s >= period_max_s:
            return True
        return passed_s >= period_s and self._wire.may_send(RESERVE_BYTES)

    def _tell(self, others: list[messages.Row]) -> None:
        """Tells one peer this router's row and some of others."""
        number = self._choose_peer()
        news = messages.News(self.name, [self._make_row(), *others])
        self._wire.send(news, self._addresses[number])

    def _choose_peer(self) -> int:
        """Returns who is told next: each one before any is told again."""
        while self._round:
            number = self._round.pop()
            if number in self._addresses:
                return number
        self._round = list(self._addresses)
        self._random.shuffle(self._round)
        return self._round.pop()

    def _make_row(self) -> messages.Row:
        self._row_number += 1
        return messages.Row(
            self.number,
            self._row_number,
            self._zone,
            self.link_mbps,
            self._get_revision(),
            {
                hashing.hash_name(service): count
                for service, count in self._list_running().items()
                if count
            },
        )

    def _read_listing(self) -> None:
        """Learns names and addresses when the listing has changed."""
        listed = self._list_listed()
        if listed is self._listed:
            return
        self._listed = listed
        known = {hashing.hash_name(name): name for name in listed}
        for number in list(self._names):
            if number not in known and self._view.get(number) is None:
                del self._names[number]
                self._addresses.pop(number, None)
        for number, name in known.items():
            address = addresses.split(listed[name])
            if address is not None and number != self.number:
                self._names[number] = name
                self._addresses[number] = address

    def take_message(
        self, message: messages.Message, address: addresses.Address
    ) -> None:
        """Learns the rows of a peer."""
        if not isinstance(message, messages.News) or message.name == self.name:
            return
        now = self._now()
        number = hashing.hash_name(message.name)
        # Also of a router that the listing has lost or does not have yet.
        self._names[number] = message.name
        self._addresses[number] = address
        for row in message.rows:
            if row.router != self.number and self._view.merge(row, now):
                name = self._names.get(row.router, str(row.router))
                logs.event(_log, "peer_found", peer=name)

    def list_peers(self) -> list[Peer]:
        """Returns the peers that were heard lately and can be reached."""
        peers = []
        for number in self._view.list_hashes():
            heard = self._view.get(number)
            if heard is None or number not in self._addresses:
                continue
            row = heard.status
            peers.append(
                Peer(
                    self._names[number],
                    row.zone,
                    row.link_mbps,
                    row.revision,
                    heard.received_at,
                )
            )
        return peers

    def find_address(self, name: str) -> str | None:
        """Returns the `HOST:PORT` of a peer."""
        address = self._addresses.get(hashing.hash_name(name))
        return addresses.join(address) if address else None

    def get_address(self, number: int) -> addresses.Address | None:
        """Returns the address of a peer by its short number."""
        return self._addresses.get(number)
