"""Interfaces to the external services: key-value service and VM list."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import enum
from typing import Protocol

import pydantic

from agatedock import registry


@dataclasses.dataclass(frozen=True)
class Entry:
    """A stored value with its version for compare-and-swap."""

    key: str
    value: bytes
    version: int


class KeyValue(Protocol):
    """A key-value service.

    Every method raises errors.Unavailable if the service did not reply; a
    write may still have taken effect then.
    """

    async def get(self, key: str) -> Entry | None:
        """Returns the entry, or None if the key does not exist."""

    async def put(
        self, key: str, value: bytes, expected_version: int, ttl_ms: int = 0
    ) -> int:
        """Stores a value if the key is at the expected version.

        Args:
          key: Key to write.
          value: New value.
          expected_version: Version that the key must be at; 0 if absent.
          ttl_ms: Milliseconds until the key expires; 0 for no expiry.

        Returns:
          The new version.

        Raises:
          errors.Conflict: The key is at another version.
        """

    async def list_keys(self, prefix: str) -> list[str]:
        """Returns the keys with the given prefix, sorted."""

    async def close(self) -> None:
        """Closes the connections."""


class VmState(enum.StrEnum):
    """State of a VM in the VM list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRole(enum.StrEnum):
    """Kind of process that runs on a VM."""

    ROUTER = "router"
    UPSTREAM = "upstream"


class Vm(pydantic.BaseModel):
    """One entry of the VM list.

    Attributes:
      port: HTTP port of an upstream, or peer port of a router.
      service: Model or service that an upstream serves; empty for a router.
    """

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    name: str
    role: VmRole
    host: str = pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,252}$")
    port: int = pydantic.Field(ge=1, le=65535)
    failure_domain: str
    service: str = ""
    state: VmState = VmState.LIVE


class VmList(Protocol):
    """The VM list; it is updated with a delay."""

    async def read(self) -> list[Vm] | None:
        """Returns all VMs, or None if nothing changed since the last read.

        Raises:
          errors.Unavailable: The service did not reply.
        """

    async def close(self) -> None:
        """Closes the connections."""


key_value_clients: registry.Registry[Callable[[str], KeyValue]] = (
    registry.Registry("key-value client")
)
vm_list_clients: registry.Registry[Callable[[str], VmList]] = registry.Registry(
    "VM list client"
)
