"""What agatedock needs of the platform: key-value service and VM list."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import enum
from typing import Protocol

import pydantic

from agatedock import registry


@dataclasses.dataclass(frozen=True)
class Entry:
    """A stored value with the version that compare-and-swap refers to."""

    key: str
    value: bytes
    version: int


class KeyValue(Protocol):
    """The platform's key-value service.

    Every method raises errors.Unavailable if no answer came; a write may then
    still have taken effect.
    """

    async def get(self, key: str) -> Entry | None:
        """Returns the entry, or None if the key does not exist."""

    async def put(
        self, key: str, value: bytes, expected: int, ttl_ms: int = 0
    ) -> int:
        """Stores a value if the key is at the expected version (0: absent).

        Returns:
          The new version.

        Raises:
          errors.Conflict: The key is at another version.
        """

    async def watch(self, key: str, after: int, wait_ms: int) -> Entry | None:
        """Returns the entry once it differs from version `after`, else None."""

    async def list_keys(self, prefix: str) -> list[str]:
        """Returns the keys with the given prefix in order."""

    async def close(self) -> None:
        """Closes the connections."""


class VmState(enum.StrEnum):
    """States in the VM list."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(pydantic.BaseModel):
    """One row of the VM list.

    Attributes:
      role: `router` or `upstream`.
      service: The model or service an upstream serves; empty for a router.
      port: Port for requests: an upstream's HTTP or a router's peer port.
      gossip_port: UDP port of a router, else 0.
      rpc_port: gRPC port of a router, else 0.
    """

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    name: str
    role: str
    host: str
    port: int
    failure_domain: str
    service: str = ""
    gossip_port: int = 0
    rpc_port: int = 0
    state: VmState = VmState.LIVE


class VmList(Protocol):
    """The platform's list of VMs, which lags behind the truth."""

    async def read(self) -> list[Vm] | None:
        """Returns all rows, or None if nothing changed since the last read.

        Raises:
          errors.Unavailable: No answer came.
        """

    async def close(self) -> None:
        """Closes the connections."""


key_values: registry.Registry[Callable[[str], KeyValue]] = registry.Registry(
    "key-value client"
)
vm_lists: registry.Registry[Callable[[str], VmList]] = registry.Registry(
    "VM list client"
)
