"""What the own interface needs around it: key-value service and VM list."""

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
    """A key-value service.

    Every method raises errors.Unavailable if no answer came; a write may then
    still have taken effect.
    """

    async def get(self, key: str) -> Entry | None:
        """Returns the entry, or None if the key does not exist."""

    async def put(
        self, key: str, value: bytes, expected_version: int, ttl_ms: int = 0
    ) -> int:
        """Stores a value if the key is at the expected version (0: absent).

        Returns:
          The new version.

        Raises:
          errors.Conflict: The key is at another version.
        """

    async def list_keys(self, prefix: str) -> list[str]:
        """Returns the keys with the given prefix in order."""

    async def close(self) -> None:
        """Closes the connections."""


class VmState(enum.StrEnum):
    """States in the VM list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRole(enum.StrEnum):
    """What runs on a VM."""

    ROUTER = "router"
    UPSTREAM = "upstream"


class Vm(pydantic.BaseModel):
    """One row of the VM list.

    Attributes:
      service: The model or service an upstream serves; empty for a router.
      port: Port for requests: an upstream's HTTP or a router's peer port.
    """

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    name: str
    role: VmRole
    host: str
    port: int
    failure_domain: str
    service: str = ""
    state: VmState = VmState.LIVE


class VmList(Protocol):
    """A list of VMs, which lags behind the truth."""

    async def read(self) -> list[Vm] | None:
        """Returns all rows, or None if nothing changed since the last read.

        Raises:
          errors.Unavailable: No answer came.
        """

    async def close(self) -> None:
        """Closes the connections."""


key_value_clients: registry.Registry[Callable[[str], KeyValue]] = (
    registry.Registry("key-value client")
)
vm_list_clients: registry.Registry[Callable[[str], VmList]] = registry.Registry(
    "VM list client"
)
