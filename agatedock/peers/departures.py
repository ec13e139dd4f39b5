"""Tells other routers at once which replicas and failure domains to leave.

Handles replicas that leave while a listing takes long to arrive, because a
large configuration changes with it or the way from the store is long. A router
that learns of a departure sends it to its children in the relay tree, in a
datagram of its own, and they forward it. The listing remains authoritative: a
departure counts until the listing has reached the change that it belongs to,
and longer only if the replica is missing from the listing. Evacuations of
failure domains go the same way.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import logging

from agatedock import addresses
from agatedock import hashing
from agatedock import logs
from agatedock.decisions import polling
from agatedock.peers import endpoint
from agatedock.peers import gossip
from agatedock.peers import messages
from agatedock.peers import snapshots
from agatedock.views import directory

_log = logging.getLogger(__name__)

# Failure domains that one message names.
DOMAINS_PER_MESSAGE_MAX = 16


class DepartureRelay:
    """Sends, receives and forwards departures."""

    def __init__(
        self,
        peer_endpoint: endpoint.Endpoint,
        peers: gossip.Gossip,
        replica_directory: directory.Directory,
        get_position: Callable[[], snapshots.Position],
    ) -> None:
        """Registers for departures at the endpoint.

        Args:
          peer_endpoint: Sends and receives datagrams.
          peers: The other routers and their addresses.
          replica_directory: Known replicas; leaving ones become unusable.
          get_position: Returns the position of the local listing.
        """
        self._peer_endpoint = peer_endpoint
        self._peers = peers
        self._directory = replica_directory
        self._get_position = get_position
        # Position as of which each replica is leaving, by id; only of replicas
        # whose departure the local listing has not reached.
        self._announced: dict[str, snapshots.Position] = {}
        # The same of failure domains that are evacuated.
        self._announced_domains: dict[str, snapshots.Position] = {}
        # Evacuated domains when the last listing was applied.
        self._known_domains: frozenset[str] = frozenset()
        peer_endpoint.handlers[messages.Departures] = self

    def handle_listing(self, departed_ids: Iterable[str]) -> None:
        """Handles a listing that was applied.

        Args:
          departed_ids: Replicas that it first shows as leaving or gone. Those
            that were announced before are not announced again.
        """
        position = self._get_position()
        new_ids = [
            replica_id
            for replica_id in departed_ids
            if replica_id not in self._announced
        ]
        self._announced = {
            replica_id: announced
            for replica_id, announced in self._announced.items()
            if self._is_pending(replica_id, announced, position)
        }
        self._directory.set_announced_departures(self._announced)
        new_domains = self._find_new_domains(position)
        if new_ids or new_domains:
            self._send(
                messages.Departures(
                    position.history_id,
                    position.complete_to,
                    [hashing.hash_name(name) for name in new_ids],
                    new_domains,
                )
            )

    def _find_new_domains(self, position: snapshots.Position) -> list[str]:
        """Returns the domains that the listing is the first to show evacuated.

        Announcements that the listing has reached are dropped.
        """
        evacuations = self._directory.evacuations
        known = self._known_domains.union(self._announced_domains)
        self._announced_domains = {
            domain: announced
            for domain, announced in self._announced_domains.items()
            if position.is_same_history(announced)
            and not position.reaches(announced)
        }
        evacuations.set_announced(self._announced_domains)
        self._known_domains = evacuations.list_domains()
        return sorted(self._known_domains - known)[:DOMAINS_PER_MESSAGE_MAX]

    def _is_pending(
        self,
        replica_id: str,
        announced: snapshots.Position,
        position: snapshots.Position,
    ) -> bool:
        """Returns whether an announced departure still counts.

        After a gap between listings this router keeps a removed entry for a
        while, as it may have expired in an outage of the store. The router that
        announced the departure had no such gap.
        """
        if not position.is_same_history(announced):
            return False
        return not position.reaches(announced) or self._directory.is_missing(
            replica_id
        )

    def handle_message(
        self, message: messages.Message, address: addresses.Address
    ) -> None:
        """Stops using replicas that a peer announces, and forwards that."""
        del address
        if not isinstance(message, messages.Departures):
            return
        position = self._get_position()
        announced = snapshots.Position(message.history_id, message.complete_to)
        if not position.is_same_history(announced) or position.reaches(
            announced
        ):
            return
        new_domains = self._record_domains(message, announced)
        new_hashes = []
        for replica_hash in message.replica_hashes:
            replica = self._directory.get_by_hash(replica_hash)
            if replica is None or replica.replica_id in self._announced:
                continue
            new_hashes.append(replica_hash)
            self._announced[replica.replica_id] = announced
            logs.event(_log, "replica_leaving", replica=replica.replica_id)
        if not new_hashes and not new_domains:
            return
        self._directory.set_announced_departures(self._announced)
        self._send(
            messages.Departures(
                message.history_id, message.complete_to, new_hashes, new_domains
            )
        )

    def _record_domains(
        self, message: messages.Departures, announced: snapshots.Position
    ) -> list[str]:
        """Evacuates domains that a peer announces; returns the new ones."""
        new_domains = [
            domain
            for domain in message.domains[:DOMAINS_PER_MESSAGE_MAX]
            if domain not in self._announced_domains
            and not self._directory.evacuations.includes(domain)
        ]
        for domain in new_domains:
            self._announced_domains[domain] = announced
            logs.event(_log, "domain_evacuation_heard", domain=domain)
        self._directory.evacuations.set_announced(self._announced_domains)
        return new_domains

    def _send(self, message: messages.Departures) -> None:
        links = {peer.name: peer.link_mbps for peer in self._peers.list_peers()}
        for name in polling.list_children(
            self._peers.name, self._peers.link_mbps, links
        ):
            address = self._peers.get_socket_address(hashing.hash_name(name))
            if address is not None:
                self._peer_endpoint.send(message, address)
