"""What each interface knows of the source and its items."""

from __future__ import annotations

import enum
from typing import Protocol

from agatedock.domain import configuration
from agatedock.domain import replicas
from agatedock.peers import snapshots


class ItemKind(enum.Enum):
    """What an item of a listing describes."""

    CONFIGURATION = "configuration"
    REPLICA = "replica"
    ROUTER = "router"
    OTHER = "other"


class ListingSource(Protocol):
    """Where listings come from."""

    async def fetch_snapshot(self, timeout_s: float) -> snapshots.Snapshot:
        """Returns all items.

        Args:
          timeout_s: How long nothing of an answer may come.

        Raises:
          errors.Unavailable: No complete answer came.
        """


class ItemDecoder(Protocol):
    """What the items of a listing say.

    Attributes:
      configuration_key: Key of the configuration.
      replica_prefix: Begins the keys of replicas; their names follow.
      router_prefix: The same for routers.
    """

    configuration_key: str
    replica_prefix: str
    router_prefix: str

    def classify(self, key: str) -> ItemKind:
        """Returns what an item describes."""
        if key == self.configuration_key:
            return ItemKind.CONFIGURATION
        if key.startswith(self.replica_prefix):
            return ItemKind.REPLICA
        if key.startswith(self.router_prefix):
            return ItemKind.ROUTER
        return ItemKind.OTHER

    def decode_name(self, key: str) -> str:
        """Returns the name of the replica or router that a key stands for."""
        return key.removeprefix(self.replica_prefix).removeprefix(
            self.router_prefix
        )

    def decode_configuration(
        self, item: snapshots.Item
    ) -> configuration.Configuration:
        """Returns a configuration.

        Raises:
          errors.DecodeError: It cannot be read.
        """

    def decode_replica(self, item: snapshots.Item) -> replicas.Replica:
        """Returns a replica.

        Raises:
          errors.DecodeError: It cannot be read.
        """

    def decode_router(self, item: snapshots.Item) -> str:
        """Returns the `HOST:PORT` at which a router answers its peers.

        Raises:
          errors.DecodeError: It cannot be read.
        """

    def handle_other(self, item: snapshots.Item) -> None:
        """Learns an item of another kind from a listing that is new."""

    def is_equivalent(
        self, known: snapshots.Item, item: snapshots.Item
    ) -> bool:
        """Tells whether an item says no more than an earlier one of its key."""
