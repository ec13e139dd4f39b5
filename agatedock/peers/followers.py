"""Keeps the local listing up to date from the store or from a peer.

One listing of all keys contains the configuration, the replicas and the other
routers. It confirms the configuration as newest at the time of the request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import logging
import random

from aiohttp import web

from agatedock import errors
from agatedock import logs
from agatedock.decisions import polling
from agatedock.peers import departures
from agatedock.peers import endpoint
from agatedock.peers import gossip
from agatedock.peers import listings
from agatedock.peers import relay
from agatedock.peers import snapshots
from agatedock.peers import updater
from agatedock.serving import state

_log = logging.getLogger(__name__)

# A store read is cancelled if no data arrives for this long.
STORE_IDLE_TIMEOUT_S = 1.0
# Number and timeout of the first reads after the start, which are cancelled
# earlier because no request can be served before one succeeds.
STARTUP_ATTEMPTS = 3
STARTUP_IDLE_TIMEOUT_S = 0.3
# Routers that are asked at the start for a newer configuration.
STARTUP_PEERS_MAX = 3


class Follower:
    """Polls the store or a peer and applies the changes.

    Attributes:
      listing: The local copy of the listing, which peers can request.
      on_restored: Called after the store was restored from a copy.
    """

    def __init__(
        self,
        source: listings.ListingSource,
        item_decoder: listings.ItemDecoder,
        listing_client: relay.ListingClient,
        peers: gossip.Gossip,
        peer_endpoint: endpoint.Endpoint,
        shared: state.SharedState,
        on_configuration: Callable[[], None],
    ) -> None:
        self.on_restored: Callable[[], None] = lambda: None
        self._source = source
        self._listing_client = listing_client
        self._peers = peers
        self._poll_schedule = polling.PollSchedule()
        # Highest configuration version that was requested from a peer outside
        # the poll schedule.
        self._requested_version = 0
        self._shared = shared
        self._name = peers.name
        self._store_reachable = True
        self._updater = updater.Updater(
            self._name, item_decoder, shared, on_configuration
        )
        self._item_decoder = item_decoder
        self.listing = snapshots.Listing(self._is_equivalent)
        self._departures = departures.DepartureRelay(
            peer_endpoint,
            peers,
            shared.directory,
            lambda: self.listing.position,
        )
        self._listing_server = relay.ListingServer(self.listing)

    @property
    def listed_routers(self) -> dict[str, str]:
        """Returns the addresses of the listed routers, this one excluded."""
        return self._updater.listed_routers

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            links = {
                peer.name: peer.link_mbps for peer in self._peers.list_peers()
            }
            target = polling.choose_target(
                self._name, self._peers.link_mbps, links
            )
            if not await self._poll(target):
                # The store may be unavailable to this router only.
                fallback_peers = polling.choose_fallback_peers(
                    self._name, links, self._poll_schedule.failures
                )
                await self._query_peers(fallback_peers)
            await self._fetch_newer_configuration()
            pause_s = self._poll_schedule.get_pause_s(target.source)
            if not self._shared.configured.is_set():
                pause_s = polling.BACKOFF_MIN_S
            await asyncio.sleep(pause_s)

    async def _poll(self, target: polling.PollTarget) -> bool:
        """Polls once.

        Args:
          target: The peer or the store. The store is also read if the peer's
            listing is older than the target allows.

        Returns:
          Whether a configuration is applied and the last store read, if any,
          succeeded.
        """
        replied = False
        if target.source is polling.PollSource.PEER:
            replied = await self._query_peers([target.peer])
            age_s = self._shared.now() - self.listing.read_at
            if replied and age_s <= target.max_age_s:
                self._poll_schedule.record_peer_success()
                return self._shared.configured.is_set()
        # If all routers lost their listings, the parent has none either.
        has_listing = (
            replied and self.listing.position != snapshots.EMPTY_POSITION
        )
        if self._poll_schedule.is_read_due(has_listing, self._shared.now()):
            await self._read_store()
        return (
            not self._poll_schedule.failures
            and self._shared.configured.is_set()
        )

    async def _read_store(self) -> None:
        requested_at = self._shared.now()
        # No request can be served before the first listing, and with the usual
        # timeout a lost packet would delay it by a second.
        is_first_read = self._shared.configuration_view.current is None
        is_startup = (
            is_first_read and self._poll_schedule.failures < STARTUP_ATTEMPTS
        )
        timeout_s = (
            STARTUP_IDLE_TIMEOUT_S if is_startup else STORE_IDLE_TIMEOUT_S
        )
        try:
            snapshot = await self._source.fetch_snapshot(timeout_s)
        except errors.Unavailable as error:
            self._poll_schedule.record_failure(self._shared.now())
            self._record_store_reachability(False, str(error))
            return
        now = self._shared.now()
        self._poll_schedule.record_read(now, now - requested_at)
        self._record_store_reachability(True, "")
        era_before = self.listing.era
        changes = self.listing.load_snapshot(snapshot, requested_at)
        if is_first_read:
            await self._query_listed_routers()
        self._apply_changes(changes, era_before)

    async def _query_listed_routers(self) -> None:
        """Asks some listed routers for a configuration newer than the store's.

        A store that was restored from a copy may hold an older one, and a
        router that has just started knows no other.
        """
        if not self.listing.era:
            return
        routers = self._updater.decode_routers(self.listing.list_items())
        names = random.sample(
            sorted(routers), min(len(routers), STARTUP_PEERS_MAX)
        )
        if not names:
            return
        tasks = [
            asyncio.create_task(self._fetch_configuration(routers[name]))
            for name in names
        ]
        _, pending = await asyncio.wait(tasks, timeout=STARTUP_IDLE_TIMEOUT_S)
        for task in pending:
            task.cancel()

    async def _fetch_configuration(self, address: str) -> None:
        """Applies the configuration of a router if it is newer."""
        listing_request = relay.ListingRequest(
            self.listing.position, self._shared.configuration_view.version
        )
        try:
            delta = await self._listing_client.fetch_delta(
                address, listing_request
            )
        except errors.Unavailable as error:
            logs.event(_log, "peer_not_queried", cause=str(error))
            return
        if delta.configuration is not None:
            self._apply_newer_configuration(delta.configuration, float("-inf"))

    def _handle_restore(self, era_before: int) -> None:
        """Handles a listing of another era than the one before it."""
        logs.event(
            _log,
            "store_restored",
            logging.WARNING,
            era=self.listing.era,
            era_before=era_before,
            number=self.listing.position.complete_to,
        )
        self._shared.directory.handle_restore(self._shared.now())
        self.on_restored()

    def _apply_changes(
        self, changes: snapshots.Changes, era_before: int
    ) -> None:
        """Applies changes of the listing.

        Args:
          changes: The changes.
          era_before: Era of the listing before them; 0 if unknown.
        """
        if era_before and self.listing.era != era_before:
            self._handle_restore(era_before)
        now = self._shared.now()
        departed_ids = self._updater.apply_changes(changes, self.listing, now)
        self._departures.handle_listing(departed_ids)

    async def _fetch_newer_configuration(self) -> None:
        """Queries the peer with the newest configuration if that is newer.

        Each version is requested once; afterwards the poll schedule applies.
        """
        newest_peer = max(
            self._peers.list_peers(),
            key=lambda peer: peer.version,
            default=None,
        )
        if newest_peer is None:
            return
        known_version = max(
            self._requested_version, self._shared.configuration_view.version
        )
        if newest_peer.version > known_version:
            self._requested_version = newest_peer.version
            await self._query_peers([newest_peer.name])

    async def _query_peers(self, names: Sequence[str]) -> bool:
        """Queries peers in order until one has a newer listing.

        Args:
          names: The peers; those without a known address are skipped.

        Returns:
          Whether any peer replied.
        """
        replied = False
        for name in names:
            address = self._peers.get_peer_address(name)
            if address is None:
                continue
            requested_at = self._shared.now()
            listing_request = relay.ListingRequest(
                self.listing.position, self._shared.configuration_view.version
            )
            try:
                delta = await self._listing_client.fetch_delta(
                    address, listing_request
                )
            except errors.Unavailable as error:
                logs.event(
                    _log, "reader_lost", logging.WARNING, cause=str(error)
                )
                continue
            replied = True
            # The listing's age counts from the store reader's request, and the
            # peer computed it after this router sent its own. So this time is
            # never later than that of the store read.
            read_at = requested_at - delta.age_s
            if delta.configuration is not None:
                # Applied separately, because the rest of the peer's listing
                # may be older than the local one. Only a listing that contains
                # it confirms it.
                self._apply_newer_configuration(
                    delta.configuration, float("-inf")
                )
            if read_at > self.listing.read_at:
                self._apply_delta(delta, read_at, name)
                break
        return replied

    def _apply_delta(
        self, delta: snapshots.Delta, read_at: float, peer: str
    ) -> None:
        era_before = self.listing.era
        changes = self.listing.apply_delta(delta, read_at)
        self._apply_changes(changes, era_before)
        if self.listing.diverged:
            logs.event(
                _log, "listing_differs", peer=peer, number=delta.complete_to
            )

    def apply_accepted(self, item: snapshots.Item) -> None:
        """Applies an accepted configuration without waiting for a poll."""
        self._apply_newer_configuration(item, self._shared.now())

    def _apply_newer_configuration(
        self, item: snapshots.Item, read_at: float
    ) -> None:
        now = self._shared.now()
        self._updater.apply_newer_configuration(
            item, read_at, self.listing, now
        )

    def serve_listing_request(self, raw: web.BaseRequest) -> web.Response:
        """Returns the changes that the requesting peer lacks."""
        return self._listing_server.make_response(
            self._updater.configuration,
            raw,
            self._shared.now(),
            self._shared.configuration_view.version,
        )

    def _is_equivalent(
        self, known: snapshots.Item, item: snapshots.Item
    ) -> bool:
        """Returns whether an item has no change that this router uses."""
        replica_id = self._item_decoder.decode_name(item.key)
        if self._shared.directory.awaits_update(replica_id):
            return snapshots.has_same_value(known, item)
        return self._item_decoder.is_equivalent(known, item)

    def _record_store_reachability(self, reachable: bool, cause: str) -> None:
        if reachable == self._store_reachable:
            return
        self._store_reachable = reachable
        name = "store_regained" if reachable else "store_lost"
        logs.event(_log, name, logging.WARNING, cause=cause)
