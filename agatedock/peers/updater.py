"""Applies changes of the listing to this router's views."""

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

# If more replicas than this change at once, only their number is logged.
REPLICA_LOG_LINES_MAX = 40


class Updater:
    """Decodes changed items and applies them to the views.

    Attributes:
      listed_routers: Addresses of all listed routers by name, this one
        excluded.
      configuration: Item of the applied configuration; None before the first.
    """

    def __init__(
        self,
        name: str,
        item_decoder: listings.ItemDecoder,
        shared: state.SharedState,
        on_configuration: Callable[[], None],
    ) -> None:
        """Creates an updater without a configuration.

        Args:
          name: Name of this router.
          item_decoder: Classifies and decodes the items.
          shared: Contains the views.
          on_configuration: Called after each change of the configuration.
        """
        self._name = name
        self._item_decoder = item_decoder
        self._shared = shared
        self._on_configuration = on_configuration
        # The last one that was not applied: it is older or cannot be decoded.
        self._ignored_configuration: snapshots.Item | None = None
        # May be older than the applied configuration, which can also come from
        # a peer or an operator.
        self._listed_configuration: snapshots.Item | None = None
        self.configuration: snapshots.Item | None = None
        self.listed_routers: dict[str, str] = {}

    def apply_changes(
        self,
        changes: snapshots.Changes,
        listing: snapshots.Listing,
        now: float,
    ) -> list[str]:
        """Applies the changes of a listing, and confirms the rest as current.

        Args:
          changes: Changes since the listing before.
          listing: The listing after the changes.
          now: Present time in seconds.

        Returns:
          Ids of the replicas that accept no new requests any more.
        """
        by_kind = self._group_by_kind(changes.items)
        for key in changes.removed_keys:
            if (
                self._item_decoder.classify(key)
                is listings.ItemKind.CONFIGURATION
            ):
                # The applied configuration remains, and its age grows.
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
        self._update_evacuations(
            by_kind[listings.ItemKind.EVACUATION], changes.removed_keys, now
        )
        if configuration_changed:
            return self._update_all_replicas(listing, changes.removed_keys, now)
        items = by_kind[listings.ItemKind.REPLICA]
        return self._update_replicas(
            items, changes.removed_keys, listing.read_at, now
        )

    def decode_routers(self, items: list[snapshots.Item]) -> dict[str, str]:
        """Returns addresses by name of the other routers among some items."""
        routers: dict[str, str] = {}
        for item in items:
            if self._item_decoder.classify(item.key) is (
                listings.ItemKind.ROUTER
            ):
                self._decode_router(item, routers)
        routers.pop(self._name, None)
        return routers

    def _decode_router(
        self, item: snapshots.Item, routers: dict[str, str]
    ) -> None:
        """Updates the address of one router."""
        name = self._item_decoder.decode_name(item.key)
        try:
            routers[name] = self._item_decoder.decode_router(item)
        except errors.DecodeError as error:
            routers.pop(name, None)
            _log_undecodable(item, str(error))

    def apply_newer_configuration(
        self,
        item: snapshots.Item,
        read_at: float,
        listing: snapshots.Listing,
        now: float,
    ) -> None:
        """Applies a configuration that may not be in the local listing yet.

        Args:
          item: Item of the configuration.
          read_at: When it was confirmed as the newest, in seconds.
          listing: The local listing, whose replicas are decoded again.
          now: Present time in seconds.
        """
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
        """Applies a configuration if it is newer, or confirms the applied one.

        Args:
          item: Item of the configuration.
          read_at: When it was confirmed as the newest, in seconds.

        Returns:
          Whether the applied configuration changed.
        """
        view = self._shared.configuration_view
        if self.configuration and item.value == self.configuration.value:
            # A restored store may hold it at another revision.
            view.confirm(read_at)
            return False
        if self._is_ignored(item):
            return False
        try:
            document = self._item_decoder.decode_configuration(item)
        except errors.DecodeError as error:
            # The last valid configuration remains, and its age grows.
            self._ignored_configuration = item
            logs.event(
                _log,
                "configuration_unreadable",
                logging.ERROR,
                revision=item.revision,
                error=str(error),
            )
            return False
        if not view.update(document, item.revision, read_at):
            # Nothing confirms the newer one until the operator writes again.
            self._ignored_configuration = item
            logs.event(
                _log,
                "configuration_outdated",
                logging.WARNING,
                revision=item.revision,
                version=document.version,
                version_in_force=view.version,
            )
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

    def _is_ignored(self, item: snapshots.Item) -> bool:
        ignored = self._ignored_configuration
        return ignored is not None and ignored.value == item.value

    def _update_routers(
        self, items: list[snapshots.Item], removed_keys: list[str]
    ) -> None:
        routers = dict(self.listed_routers)
        for key in removed_keys:
            if self._item_decoder.classify(key) is listings.ItemKind.ROUTER:
                routers.pop(self._item_decoder.decode_name(key), None)
        for item in items:
            self._decode_router(item, routers)
        routers.pop(self._name, None)
        self.listed_routers = routers

    def _update_evacuations(
        self, items: list[snapshots.Item], removed_keys: list[str], now: float
    ) -> None:
        """Applies evacuations of failure domains, and their ends."""
        removed = [
            self._item_decoder.decode_name(key)
            for key in removed_keys
            if self._item_decoder.classify(key) is listings.ItemKind.EVACUATION
        ]
        listed = [self._item_decoder.decode_name(item.key) for item in items]
        directory = self._shared.directory
        for domain in listed:
            logs.event(
                _log,
                "domain_evacuated",
                logging.WARNING,
                domain=domain,
                replicas=len(directory.list_domain(domain)),
            )
        for domain in directory.evacuations.apply_changes(listed, removed, now):
            logs.event(
                _log, "domain_taken_back", logging.WARNING, domain=domain
            )
            for replica in directory.list_domain(domain):
                self._record_return(replica, now)

    def _record_return(self, replica: replicas.Replica, now: float) -> None:
        """Records that a replica may be cold, as its domain was taken back.

        Its entry says so only with its next update.
        """
        service = self._shared.find_service(replica.service)
        if service is not None and service.cold_rate is not None:
            self._shared.cold_replicas.record(
                replica, service.cold_rate, now + service.cold_s
            )

    def _record_cold(
        self, listed_replicas: list[replicas.Replica], read_at: float
    ) -> None:
        """Records which of the listed replicas are cold."""
        for replica in listed_replicas:
            service = self._shared.find_service(replica.service)
            if (
                replica.cold_s
                and service is not None
                and service.cold_rate is not None
            ):
                self._shared.cold_replicas.record(
                    replica, service.cold_rate, read_at + replica.cold_s
                )

    def _update_all_replicas(
        self, listing: snapshots.Listing, removed_keys: list[str], now: float
    ) -> list[str]:
        """Decodes all replicas again after a change of the configuration.

        The configuration may set the number of slots of a replica.

        Returns:
          Ids of the replicas that accept no new requests any more.
        """
        by_kind = self._group_by_kind(listing.list_items())
        items = by_kind[listings.ItemKind.REPLICA]
        return self._update_replicas(items, removed_keys, listing.read_at, now)

    def _update_replicas(
        self,
        items: list[snapshots.Item],
        removed_keys: list[str],
        read_at: float,
        now: float,
    ) -> list[str]:
        """Applies entries of replicas.

        Returns:
          Ids of the replicas that accept no new requests any more.
        """
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
        self._record_cold(listed_replicas, read_at)
        directory = self._shared.directory
        changed_ids = removed_ids + [
            replica.replica_id for replica in listed_replicas
        ]
        ready_before = [
            name for name in changed_ids if directory.is_ready(name)
        ]
        for removed in directory.apply_changes(
            listed_replicas, removed_ids, read_at, now
        ):
            self._shared.remove_replica(removed.replica_id)
            logs.event(_log, "replica_gone", replica=removed.replica_id)
        return [name for name in ready_before if not directory.is_ready(name)]

    def _log_changed_replicas(
        self, listed_replicas: list[replicas.Replica]
    ) -> None:
        """Logs replicas that are new or have changed their state."""
        changed = []
        for replica in listed_replicas:
            previous = self._shared.directory.get(replica.replica_id)
            if previous is None or previous.state is not replica.state:
                changed.append(replica)
        if len(changed) > REPLICA_LOG_LINES_MAX:
            # This happens at the start in a large fleet.
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
