"""Tells other routers of runs of replicas that they should not use.

What a peer says makes this router only prefer other replicas for a while, so
that no peer can put a replica out of use.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import logging
import math
import random

from agatedock import addresses
from agatedock import hashing
from agatedock import logs
from agatedock.domain import replicas
from agatedock.peers import endpoint
from agatedock.peers import gossip
from agatedock.peers import messages
from agatedock.views import crash_reports
from agatedock.views import directory
from agatedock.views import health

_log = logging.getLogger(__name__)

ROUND_S = 0.05
# Rounds in which a run is forwarded, in addition to the logarithm of the fleet.
EXTRA_ROUNDS = 4
RUNS_PER_MESSAGE_MAX = 20
# Part of the bandwidth budget that is left for reservations.
RESERVED_BYTES = endpoint.BURST_MAX_BYTES / 4


@dataclasses.dataclass(frozen=True, slots=True)
class News:
    """One kind of news of runs.

    Attributes:
      message_type: The message that carries it.
      event: Name of its event in the log.
      avoided_s: How long other replicas are preferred.
      remembered_s: A run that a peer named is ignored for this long if it is
        named again.
      take_told: Returns the replicas that this router has news of, once.
    """

    message_type: type[messages.DrainingRuns] | type[messages.SilentRuns]
    event: str
    avoided_s: float
    remembered_s: float
    take_told: Callable[[], list[replicas.Replica]]


class RunExchange:
    """Sends, receives and forwards one kind of news."""

    def __init__(
        self,
        news: News,
        peer_endpoint: endpoint.Endpoint,
        peers: gossip.Gossip,
        replica_directory: directory.Directory,
        replica_health: health.ReplicaHealth,
        now: Callable[[], float],
    ) -> None:
        """Registers for the news at the endpoint.

        Args:
          news: The kind of news.
          peer_endpoint: Sends and receives datagrams.
          peers: The other routers and their addresses.
          replica_directory: Known replicas.
          replica_health: Suspends the replicas that peers name.
          now: Returns the present time in seconds.
        """
        self._news = news
        self._peer_endpoint = peer_endpoint
        self._peers = peers
        self._directory = replica_directory
        self._health = replica_health
        self._now = now
        # Rounds in which a run is still to be sent, and when it was heard of.
        self._rounds_left: dict[int, int] = {}
        self._known_at: dict[int, float] = {}
        self._random = random.Random(peers.name)
        peer_endpoint.handlers[news.message_type] = self

    def run_round(self, now: float) -> None:
        """Sends the runs with rounds left to one peer."""
        told = self._news.take_told()
        if not told and not self._rounds_left:
            return
        names = [peer.name for peer in self._peers.list_peers()]
        for replica in told:
            self._start(crash_reports.hash_run(replica), len(names), now)
        run_hashes = list(self._rounds_left)[:RUNS_PER_MESSAGE_MAX]
        if (
            not names
            or not run_hashes
            or not self._peer_endpoint.may_send(RESERVED_BYTES)
        ):
            return
        address = self._peers.get_socket_address(
            hashing.hash_name(self._random.choice(names))
        )
        if address is not None:
            message = self._news.message_type(run_hashes)
            self._peer_endpoint.send(message, address)
        for run_hash in run_hashes:
            self._rounds_left[run_hash] -= 1
            if self._rounds_left[run_hash] <= 0:
                del self._rounds_left[run_hash]

    def _start(self, run_hash: int, peer_count: int, now: float) -> None:
        self._known_at = {
            known: at
            for known, at in self._known_at.items()
            if now - at < self._news.remembered_s
        }
        self._known_at[run_hash] = now
        self._rounds_left[run_hash] = EXTRA_ROUNDS + math.ceil(
            math.log2(peer_count + 1)
        )

    def handle_message(
        self, message: messages.Message, address: addresses.Address
    ) -> None:
        """Prefers other replicas to those that a peer names for a while."""
        del address
        if not isinstance(message, messages.DrainingRuns | messages.SilentRuns):
            return
        now = self._now()
        new_hashes = {
            run_hash
            for run_hash in message.run_hashes[:RUNS_PER_MESSAGE_MAX]
            if now - self._known_at.get(run_hash, -math.inf)
            >= self._news.remembered_s
        }
        if not new_hashes:
            return
        # Runs that are not listed here are neither kept nor forwarded.
        for replica in self._directory.list_all():
            run_hash = crash_reports.hash_run(replica)
            if run_hash not in new_hashes:
                continue
            self._start(run_hash, len(self._peers.list_peers()), now)
            self._health.suspend(replica.replica_id, now + self._news.avoided_s)
            logs.event(_log, self._news.event, replica=replica.replica_id)


async def run(
    exchanges: Sequence[RunExchange], now: Callable[[], float]
) -> None:
    """Sends runs periodically until cancelled.

    Args:
      exchanges: The exchanges, which take turns.
      now: Returns the present time in seconds.
    """
    while True:
        await asyncio.sleep(ROUND_S)
        for exchange in exchanges:
            exchange.run_round(now())
