"""Exchanges router statuses between peers by gossip.

Each router periodically sends a message with its own status and the latest
statuses of other routers to one peer, in random order. A share of the bandwidth
budget is used for gossip whatever reservations need: when traffic rises, the
load bound is enforced correctly only if the new mean load is known. The cost in
bytes and CPU time of one router does not grow with the number of routers;
instead, statuses are older in a larger fleet.
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

# Part of the bandwidth budget that gossip leaves for reservations during a
# burst of requests.
RESERVATION_BUDGET_BYTES = endpoint.BURST_MAX_BYTES / 2
# Messages come in two sizes. Many short ones keep statuses fresher than a few
# long ones of as many bytes; long ones spread new statuses through a large
# fleet. For each size: the period while the bandwidth budget allows it, the
# period otherwise, and the number of statuses of other routers in a message.
SHORT_PERIOD_S = 0.05
SHORT_PERIOD_MAX_S = 0.1
SHORT_STATUSES = 6
LONG_PERIOD_S = 0.2
LONG_PERIOD_MAX_S = 0.6
LONG_STATUSES = 24


# Start of 2026 in Unix milliseconds.
_SEQUENCE_EPOCH_MS = 1_767_225_600_000
# Less than SHORT_PERIOD_S, so that the sequence numbers of a running router do
# not overtake the first one after its restart.
_MS_PER_SEQUENCE = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """A live router other than this one.

    Attributes:
      name: Name of the router.
      zone: Failure domain of the router.
      link_mbps: Speed of its VM's link in Mbit/s.
      version: Version of the configuration that it applies.
      last_seen_at: Time at which its latest status arrived here, in seconds.
    """

    name: str
    zone: str
    link_mbps: int
    version: int
    last_seen_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Properties of this router that it reports to peers.

    Attributes:
      name: Name of the router.
      zone: Failure domain of the router.
      link_mbps: Speed of its VM's link in Mbit/s.
      started_at_ms: Unix time in milliseconds of the start. It determines the
        first sequence number, so that statuses after a restart are newer.
    """

    name: str
    zone: str
    link_mbps: int
    started_at_ms: int


def _make_first_sequence(started_at_ms: int) -> int:
    """Returns a sequence number above all those of earlier starts.

    The number grows with time faster than a running router numbers its
    statuses. It counts from 2026 to take few bytes in a message.
    """
    return max(0, started_at_ms - _SEQUENCE_EPOCH_MS) // _MS_PER_SEQUENCE


class Gossip:
    """Sends and receives gossip messages.

    Attributes:
      name: Name of this router.
      link_mbps: Speed of its VM's link in Mbit/s.
      router_hash: Hash of its name.
    """

    def __init__(
        self,
        identity: Identity,
        peer_endpoint: endpoint.Endpoint,
        membership: routers.Routers,
        get_listed_routers: Callable[[], Mapping[str, str]],
        get_version: Callable[[], int],
        get_running: Callable[[], Mapping[str, int]],
        now: Callable[[], float],
    ) -> None:
        """Registers for gossip messages at the endpoint.

        Args:
          identity: This router.
          peer_endpoint: Sends and receives datagrams.
          membership: Stores the received statuses.
          get_listed_routers: Returns the addresses of the routers in the
            listing by name. The mapping must be a new object after a change.
          get_version: Returns the version of the applied configuration.
          get_running: Returns this router's running requests by service.
          now: Returns the present time in seconds.
        """
        self.name = identity.name
        self.link_mbps = identity.link_mbps
        self.router_hash = hashing.hash_name(identity.name)
        self._zone = identity.zone
        self._peer_endpoint = peer_endpoint
        self._membership = membership
        self._get_listed_routers = get_listed_routers
        self._get_version = get_version
        self._get_running = get_running
        self._now = now
        self._sequence = _make_first_sequence(identity.started_at_ms)
        # Peers that have received no message in this round.
        self._remaining_peers: list[int] = []
        self._short_sent_at = float("-inf")
        self._long_sent_at = float("-inf")
        self._random = random.Random(identity.name)
        # Listed routers from which names and addresses were last updated.
        self._listed_routers: Mapping[str, str] = {}
        self._names: dict[int, str] = {}
        self._addresses: dict[int, addresses.Address] = {}
        peer_endpoint.handlers[messages.GossipMessage] = self

    async def run(self) -> None:
        """Sends gossip periodically until cancelled."""
        while True:
            await asyncio.sleep(SHORT_PERIOD_S)
            self.run_round(self._now())

    def run_round(self, now: float) -> None:
        """Drops peers that timed out, and sends a message if one is due."""
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
        # Half a period of tolerance, as timers fire slightly early or late.
        elapsed_s = now - sent_at + SHORT_PERIOD_S / 2
        if elapsed_s >= period_max_s:
            return True
        return elapsed_s >= period_s and self._peer_endpoint.may_send(
            RESERVATION_BUDGET_BYTES
        )

    def _send_gossip(self, other_statuses: list[messages.RouterStatus]) -> None:
        """Sends this router's status and those of others to the next peer."""
        router_hash = self._choose_peer()
        message = messages.GossipMessage(
            self.name, [self._make_own_status(), *other_statuses]
        )
        self._peer_endpoint.send(message, self._addresses[router_hash])

    def _choose_peer(self) -> int:
        """Returns the hash of the next peer to send to.

        Each peer comes up once per round, in random order.
        """
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
            self._get_version(),
            {
                hashing.hash_name(service): count
                for service, count in self._get_running().items()
                if count
            },
        )

    def _update_addresses(self) -> None:
        """Updates names and addresses if the listed routers have changed.

        Routers that are no longer listed are kept while they are live.
        """
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
        """Merges the statuses in a peer's message."""
        if (
            not isinstance(message, messages.GossipMessage)
            or message.sender_name == self.name
        ):
            return
        now = self._now()
        router_hash = hashing.hash_name(message.sender_name)
        # Recorded also for routers that are not listed yet or no longer.
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
        """Returns the live peers whose addresses are known."""
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
                    status.version,
                    received.received_at,
                )
            )
        return peers

    def count_listed(self) -> int:
        """Returns the number of listed routers, this one excluded."""
        listed = self._get_listed_routers()
        return len(listed) - (self.name in listed)

    def get_peer_address(self, name: str) -> str | None:
        """Returns the `HOST:PORT` of a peer; None if it is not known."""
        address = self._addresses.get(hashing.hash_name(name))
        return addresses.join(address) if address else None

    def get_socket_address(self, router_hash: int) -> addresses.Address | None:
        """Returns the address of a peer by hash; None if it is not known."""
        return self._addresses.get(router_hash)
