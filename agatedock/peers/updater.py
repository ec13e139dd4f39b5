"""Brings this router's views up to date with what changed in the listing."""

from __future__ import annotations

from collections.abc import Callable
import logging

from agatedock import errors
from agatedock import logs
from agatedock.domain import replicas
from agatedock.peers import listings
from agatedock.peers import snapshots
from agatedock.serving import state

_log = logging.getLogger(__name__)

# Replicas of one listing that are told in the log one by one.
REPLICA_LOG_LINES_MAX = 40


class Updater:
    """Applies changes to the views, item by item.

    Attributes:
      listed_routers: Addresses of all listed routers by name, this one
        excluded.
      configuration: The item of the configuration in force; None at first.
    """

    def __init__(
        self,
        name: str,
        item_decoder: listings.ItemDecoder,
        shared: state.SharedState,
        on_configuration: Callable[[], None],
    ) -> None:
        """Builds an updater.

        Args:
          name: This router.
          item_decoder: Decodes the items.
          shared: The views.
          on_configuration: Called after each configuration that was taken.
        """
        self._name = name
        self._item_decoder = item_decoder
        self._shared = shared
        self._on_configuration = on_configuration
        self._undecodable_revision = 0
        # The listed one, which may be older than the one in force.
        self._listed_configuration: snapshots.Item | None = None
        self.configuration: snapshots.Item | None = None
        self.listed_routers: dict[str, str] = {}

    def apply_changes(
        self,
        changes: snapshots.Changes,
        listing: snapshots.Listing,
        now: float,
    ) -> None:
        """Learns what changed in a listing, and that the rest still holds."""
        by_kind = self._group_by_kind(changes.items)
        for key in changes.removed_keys:
            if (
                self._item_decoder.classify(key)
                is listings.ItemKind.CONFIGURATION
            ):
                # The one in force stays, and ages.
                self._listed_configuration = None
        for item in by_kind[listings.ItemKind.CONFIGURATION]:
            self._listed_configuration = item
        configuration_changed = (
            self._listed_configuration is not None
            and self._update_configuration(
                self._listed_configuration, listing.read_at
            )
        )
        for item in by_kind[listings.ItemKind.OTHER]:
            self._item_decoder.handle_other(item)
        self._update_routers(
            by_kind[listings.ItemKind.ROUTER], changes.removed_keys
        )
        if configuration_changed:
            self._update_all_replicas(listing, changes.removed_keys, now)
            return
        items = by_kind[listings.ItemKind.REPLICA]
        self._update_replicas(items, changes.removed_keys, listing.read_at, now)

    def apply_newer_configuration(
        self,
        item: snapshots.Item,
        read_at: float,
        listing: snapshots.Listing,
        now: float,
    ) -> None:
        """Learns a configuration that the listing here may not show yet."""
        if self._update_configuration(item, read_at):
            self._update_all_replicas(listing, [], now)

    def _group_by_kind(
        self, items: list[snapshots.Item]
    ) -> dict[listings.ItemKind, list[snapshots.Item]]:
        by_kind: dict[listings.ItemKind, list[snapshots.Item]] = {
            kind: [] for kind in listings.ItemKind
        }
        for item in items:
            by_kind[self._item_decoder.classify(item.key)].append(item)
        return by_kind

    def _update_configuration(
        self, item: snapshots.Item, read_at: float
    ) -> bool:
        """Learns a configuration, or that it still holds.

        Args:
          item: The configuration.
          read_at: When it was the latest, in seconds.

        Returns:
          Whether it is in force from now on, and was not before.
        """
        view = self._shared.configuration_view
        if view.confirm(item.revision, read_at):
            return False
        if item.revision < view.revision:
            return False
        if item.revision == self._undecodable_revision:
            return False
        try:
            document = self._item_decoder.decode_configuration(item)
        except errors.DecodeError as error:
            # The last good one stays, and ages.
            self._undecodable_revision = item.revision
            logs.event(
                _log,
                "configuration_unreadable",
                logging.ERROR,
                revision=item.revision,
                error=str(error),
            )
            return False
        if not view.update(document, item.revision, read_at):
            return False
        logs.event(
            _log,
            "configuration_applied",
            revision=item.revision,
            version=document.version,
        )
        self.configuration = item
        self._shared.configured.set()
        self._on_configuration()
        return True

    def _update_routers(
        self, items: list[snapshots.Item], removed_keys: list[str]
    ) -> None:
        routers = dict(self.listed_routers)
        for key in removed_keys:
            if self._item_decoder.classify(key) is listings.ItemKind.ROUTER:
                routers.pop(self._item_decoder.decode_name(key), None)
        for item in items:
            name = self._item_decoder.decode_name(item.key)
            try:
                routers[name] = self._item_decoder.decode_router(item)
            except errors.DecodeError as error:
                routers.pop(name, None)
                _log_undecodable(item, str(error))
        routers.pop(self._name, None)
        self.listed_routers = routers

    def _update_all_replicas(
        self, listing: snapshots.Listing, removed_keys: list[str], now: float
    ) -> None:
        """Decodes all anew: what they run at once may be configured."""
        by_kind = self._group_by_kind(listing.list_items())
        items = by_kind[listings.ItemKind.REPLICA]
        self._update_replicas(items, removed_keys, listing.read_at, now)

    def _update_replicas(
        self,
        items: list[snapshots.Item],
        removed_keys: list[str],
        read_at: float,
        now: float,
    ) -> None:
        listed_replicas = []
        removed_ids = [
            self._item_decoder.decode_name(key)
            for key in removed_keys
            if self._item_decoder.classify(key) is listings.ItemKind.REPLICA
        ]
        for item in items:
            try:
                listed_replicas.append(self._item_decoder.decode_replica(item))
            except errors.DecodeError as error:
                removed_ids.append(self._item_decoder.decode_name(item.key))
                _log_undecodable(item, str(error))
        self._log_changed_replicas(listed_replicas)
        directory = self._shared.directory
        for removed in directory.apply_changes(
            listed_replicas, removed_ids, read_at, now
        ):
            self._shared.remove_replica(removed.replica_id)
            logs.event(_log, "replica_gone", replica=removed.replica_id)

    def _log_changed_replicas(
        self, listed_replicas: list[replicas.Replica]
    ) -> None:
        """Logs replicas that are new or change their state."""
        changed = []
        for replica in listed_replicas:
            previous = self._shared.directory.get(replica.replica_id)
            if previous is None or previous.state is not replica.state:
                changed.append(replica)
        if len(changed) > REPLICA_LOG_LINES_MAX:
            # As after the start in a large fleet.
            logs.event(_log, "replicas_seen", count=len(changed))
            return
        for replica in changed:
            logs.event(
                _log,
                "replica_seen",
                replica=replica.replica_id,
                service=replica.service,
                zone=replica.zone,
                state=replica.state,
            )


def _log_undecodable(item: snapshots.Item, error: str) -> None:
    logs.event(
        _log,
        "entry_unreadable",
        logging.WARNING,
        key=item.key,
        error=error,
    )
