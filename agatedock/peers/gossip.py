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
RESERVATION_BUDGET_BYTES = endpoint.BURST_MAX_BYTES / 2
# Messages come in two sizes. Many short ones keep rows fresh for as many bytes
# as few long ones; long ones bring what is new to all of a large fleet.
# Between two messages of a size if bytes are left, and else; rows of other
# routers in it.
SHORT_PERIOD_S = 0.05
SHORT_PERIOD_MAX_S = 0.1
SHORT_STATUSES = 6
LONG_PERIOD_S = 0.2
LONG_PERIOD_MAX_S = 0.6
LONG_STATUSES = 24


# Start of 2026 in Unix milliseconds.
_SEQUENCE_EPOCH_MS = 1_767_225_600_000
# Less than SHORT_S.
_MS_PER_SEQUENCE = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """A router that was heard lately.

    Attributes:
      zone: Its failure domain.
      link_mbps: Speed of its VM's link.
      revision: Of the configuration in force there.
      last_seen_at: When, in seconds.
    """

    name: str
    zone: str
    link_mbps: int
    revision: int
    last_seen_at: float


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


def _make_first_sequence(started_at_ms: int) -> int:
    """Returns a row number above those of earlier starts.

    It grows faster than a running router's rows, and is short on the wire.
    """
    return max(0, started_at_ms - _SEQUENCE_EPOCH_MS) // _MS_PER_SEQUENCE


class Gossip:
    """Exchange of rows with peers."""

    def __init__(
        self,
        identity: Identity,
        peer_endpoint: endpoint.Endpoint,
        membership: routers.Routers,
        get_listed_routers: Callable[[], Mapping[str, str]],
        get_revision: Callable[[], int],
        get_running: Callable[[], Mapping[str, int]],
        now: Callable[[], float],
    ) -> None:
        """Builds the part.

        Args:
          identity: This router.
          peer_endpoint: Sends and receives.
          membership: Learns the rows.
          get_listed_routers: Returns the addresses of the routers that are
            listed.
          get_revision: Returns the revision of the configuration in force.
          get_running: Returns this router's running requests by service.
          now: The clock, in seconds.
        """
        self.name = identity.name
        self.link_mbps = identity.link_mbps
        self.router_hash = hashing.hash_name(identity.name)
        self._zone = identity.zone
        self._peer_endpoint = peer_endpoint
        self._membership = membership
        self._get_listed_routers = get_listed_routers
        self._get_revision = get_revision
        self._get_running = get_running
        self._now = now
        self._sequence = _make_first_sequence(identity.started_at_ms)
        # Peers that were not told in this round.
        self._remaining_peers: list[int] = []
        self._short_sent_at = float("-inf")
        self._long_sent_at = float("-inf")
        self._random = random.Random(identity.name)
        # The listing that names and addresses were made from.
        self._listed_routers: Mapping[str, str] = {}
        self._names: dict[int, str] = {}
        self._addresses: dict[int, addresses.Address] = {}
        peer_endpoint.handlers[messages.GossipMessage] = self

    async def run(self) -> None:
        """Tells peers until cancelled."""
        while True:
            await asyncio.sleep(SHORT_PERIOD_S)
            self.run_round(self._now())

    def run_round(self, now: float) -> None:
        """Forgets silent peers and tells one other."""
        for router_hash in self._membership.drop_timed_out(now):
            name = self._names.get(router_hash, str(router_hash))
            logs.event(_log, "peer_lost", logging.WARNING, peer=name)
        self._update_addresses()
        if not self._addresses:
            return
        if self._is_due(
            self._long_sent_at, LONG_PERIOD_S, LONG_PERIOD_MAX_S, now
        ):
            self._long_sent_at = now
            self._send_gossip(
                self._membership.list_last_received(LONG_STATUSES, now)
            )
        elif self._is_due(
            self._short_sent_at, SHORT_PERIOD_S, SHORT_PERIOD_MAX_S, now
        ):
            self._short_sent_at = now
            self._send_gossip(
                self._membership.list_last_created(SHORT_STATUSES, now)
            )

    def _is_due(
        self, sent_at: float, period_s: float, period_max_s: float, now: float
    ) -> bool:
        # Timers fire a little early or late.
        elapsed_s = now - sent_at + SHORT_PERIOD_S / 2
        if elapsed_s >= period_max_s:
            return True
        return elapsed_s >= period_s and self._peer_endpoint.may_send(
            RESERVATION_BUDGET_BYTES
        )

    def _send_gossip(self, other_statuses: list[messages.RouterStatus]) -> None:
        """Tells one peer this router's row and some of others."""
        router_hash = self._choose_peer()
        message = messages.GossipMessage(
            self.name, [self._make_own_status(), *other_statuses]
        )
        self._peer_endpoint.send(message, self._addresses[router_hash])

    def _choose_peer(self) -> int:
        """Returns who is told next: each one before any is told again."""
        while self._remaining_peers:
            router_hash = self._remaining_peers.pop()
            if router_hash in self._addresses:
                return router_hash
        self._remaining_peers = list(self._addresses)
        self._random.shuffle(self._remaining_peers)
        return self._remaining_peers.pop()

    def _make_own_status(self) -> messages.RouterStatus:
        self._sequence += 1
        return messages.RouterStatus(
            self.router_hash,
            self._sequence,
            self._zone,
            self.link_mbps,
            self._get_revision(),
            {
                hashing.hash_name(service): count
                for service, count in self._get_running().items()
                if count
            },
        )

    def _update_addresses(self) -> None:
        """Learns names and addresses when the listing has changed."""
        listed_routers = self._get_listed_routers()
        if listed_routers is self._listed_routers:
            return
        self._listed_routers = listed_routers
        names = {hashing.hash_name(name): name for name in listed_routers}
        for router_hash in list(self._names):
            if (
                router_hash not in names
                and self._membership.get(router_hash) is None
            ):
                del self._names[router_hash]
                self._addresses.pop(router_hash, None)
        for router_hash, name in names.items():
            address = addresses.split(listed_routers[name])
            if address is not None and router_hash != self.router_hash:
                self._names[router_hash] = name
                self._addresses[router_hash] = address

    def handle_message(
        self, message: messages.Message, address: addresses.Address
    ) -> None:
        """Learns the rows of a peer."""
        if (
            not isinstance(message, messages.GossipMessage)
            or message.sender_name == self.name
        ):
            return
        now = self._now()
        router_hash = hashing.hash_name(message.sender_name)
        # Also of a router that the listing has lost or does not have yet.
        self._names[router_hash] = message.sender_name
        self._addresses[router_hash] = address
        for status in message.statuses:
            if (
                status.router_hash != self.router_hash
                and self._membership.merge(status, now)
            ):
                name = self._names.get(
                    status.router_hash, str(status.router_hash)
                )
                logs.event(_log, "peer_found", peer=name)

    def list_peers(self) -> list[Peer]:
        """Returns the peers that were heard lately and can be reached."""
        peers = []
        for router_hash in self._membership.list_hashes():
            received = self._membership.get(router_hash)
            if received is None or router_hash not in self._addresses:
                continue
            status = received.status
            peers.append(
                Peer(
                    self._names[router_hash],
                    status.zone,
                    status.link_mbps,
                    status.revision,
                    received.received_at,
                )
            )
        return peers

    def get_peer_address(self, name: str) -> str | None:
        """Returns the `HOST:PORT` of a peer."""
        address = self._addresses.get(hashing.hash_name(name))
        return addresses.join(address) if address else None

    def get_socket_address(self, router_hash: int) -> addresses.Address | None:
        """Returns the address of a peer by its short number."""
        return self._addresses.get(router_hash)
