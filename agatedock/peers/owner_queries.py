"""Queries the routers that own counts and prompt parts, and awaits replies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging
import secrets

from agatedock import addresses
from agatedock import logs
from agatedock.decisions import ownership
from agatedock.peers import endpoint
from agatedock.peers import gossip
from agatedock.peers import messages
from agatedock.views import routers

_log = logging.getLogger(__name__)

_SEQUENCE_BITS = 31

Query = messages.Reservation | messages.PartLookup


class OwnerQueries:
    """Finds owners among the live routers and queries them.

    Attributes:
      timeouts: Queries that timed out.
    """

    def __init__(
        self,
        peer_endpoint: endpoint.Endpoint,
        peers: gossip.Gossip,
        membership: routers.Routers,
        now: Callable[[], float],
    ) -> None:
        """Starts without queries.

        Args:
          peer_endpoint: Sends datagrams.
          peers: Supplies the addresses of peers.
          membership: The live routers, among which owners are chosen.
          now: Returns the present time in seconds.
        """
        self._peer_endpoint = peer_endpoint
        self._peers = peers
        self._membership = membership
        self._now = now
        # The first sequence number is random, so that a late reply to an
        # earlier process of this router matches no query of this one.
        self._sequence = secrets.randbits(_SEQUENCE_BITS)
        self._owners = ownership.Owners(peers.router_hash)
        self._membership_version = -1
        self._reply_futures: dict[int, asyncio.Future[messages.Reply]] = {}
        self.timeouts = 0

    def make_sequence(self) -> int:
        """Returns the next sequence number of this router's messages."""
        self._sequence += 1
        return self._sequence

    def find_owner(self, key_hash: int, now: float) -> int:
        """Returns the hash of the router that owns a replica or prompt part.

        Args:
          key_hash: Hash of the replica's id or of the part.
          now: Present time in seconds.
        """
        self._update_members()
        return self._owners.find(key_hash, now)

    def is_first_owner(self, key_hash: int) -> bool:
        """Returns whether this router owns a key while none is skipped."""
        self._update_members()
        return self._owners.is_first(key_hash)

    def _update_members(self) -> None:
        if self._membership_version != self._membership.membership_version:
            self._membership_version = self._membership.membership_version
            self._owners.set_members(self._membership.list_hashes())

    async def query(
        self, make_message: Callable[[], Query], owner: int
    ) -> messages.Reply | None:
        """Sends a query to an owner and waits for the reply.

        The query is sent once more after `ownership.RETRANSMIT_S`.

        Args:
          make_message: Returns the query, with a new sequence number at each
            call.
          owner: Hash of the owner, another router than this one.

        Returns:
          The reply; None if the owner could not be queried or timed out.
        """
        address = self._peers.get_socket_address(owner)
        if address is None or not self._owners.may_query(self._now()):
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
            self.timeouts += 1
            logs.event(_log, "owner_silent", owner=addresses.join(address))
            self._owners.record_timeout(owner, self._now())
            return None
        finally:
            retransmission.cancel()
            for sequence in sequences:
                del self._reply_futures[sequence]
        self._owners.record_reply(owner)
        return reply

    def handle_reply(self, reply: messages.Reply) -> None:
        """Passes a reply to its query; a late or unknown one is ignored."""
        future = self._reply_futures.get(reply.sequence)
        if future is not None and not future.done():
            future.set_result(reply)
