"""Protocols that each platform interface implements for its listing."""

from __future__ import annotations

import enum
from typing import Protocol

from agatedock.domain import configuration
from agatedock.domain import replicas
from agatedock.peers import snapshots


class ItemKind(enum.Enum):
    """Kind of an item of a listing."""

    CONFIGURATION = "configuration"
    REPLICA = "replica"
    ROUTER = "router"
    # A failure domain that gets no new requests.
    EVACUATION = "evacuation"
    OTHER = "other"


class ListingSource(Protocol):
    """Store from which snapshots are read."""

    async def fetch_snapshot(self, timeout_s: float) -> snapshots.Snapshot:
        """Returns all items.

        Args:
          timeout_s: Longest time without data before the read is cancelled.

        Raises:
          errors.Unavailable: The store did not send a complete response.
        """


class ItemDecoder(Protocol):
    """Classifies and decodes the items of a listing.

    Attributes:
      configuration_key: Key of the configuration.
      replica_prefix: Prefix of the keys of replicas; the name follows.
      router_prefix: Prefix of the keys of routers; the name follows.
      evacuation_prefix: Prefix of the keys of evacuated failure domains; the
        name follows. Empty if there are no such keys.
    """

    configuration_key: str
    replica_prefix: str
    router_prefix: str
    evacuation_prefix: str = ""

    def classify(self, key: str) -> ItemKind:
        """Returns the kind of an item."""
        if key == self.configuration_key:
            return ItemKind.CONFIGURATION
        if key.startswith(self.replica_prefix):
            return ItemKind.REPLICA
        if key.startswith(self.router_prefix):
            return ItemKind.ROUTER
        if self.evacuation_prefix and key.startswith(self.evacuation_prefix):
            return ItemKind.EVACUATION
        return ItemKind.OTHER

    def decode_name(self, key: str) -> str:
        """Returns the name of the replica, router or domain in a key."""
        if self.classify(key) is ItemKind.EVACUATION:
            return key.removeprefix(self.evacuation_prefix)
        return key.removeprefix(self.replica_prefix).removeprefix(
            self.router_prefix
        )

    def decode_configuration(
        self, item: snapshots.Item
    ) -> configuration.Configuration:
        """Returns the configuration in an item.

        Raises:
          errors.DecodeError: The value is not a valid configuration.
        """

    def decode_replica(self, item: snapshots.Item) -> replicas.Replica:
        """Returns the replica in an item.

        Raises:
          errors.DecodeError: The value does not describe a valid replica.
        """

    def decode_router(self, item: snapshots.Item) -> str:
        """Returns the `HOST:PORT` at which a router serves its peers.

        Raises:
          errors.DecodeError: The value does not describe a valid router.
        """

    def handle_other(self, item: snapshots.Item) -> None:
        """Handles a new or changed item of kind `OTHER`."""

    def is_equivalent(
        self, known: snapshots.Item, item: snapshots.Item
    ) -> bool:
        """Returns whether an item has no change that routers use.

        Args:
          known: Earlier item of the same key.
          item: The item.
        """
