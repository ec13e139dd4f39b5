"""Routes, services and client accounts as one version of the configuration."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import enum
from typing import Protocol

from agatedock.domain import requests


class RouteKind(enum.StrEnum):
    """What may be repeated on a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Backend:
    """One service behind a route, with its share of the requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests go, and on what terms.

    Attributes:
      timeout_s: Longest time a client is kept waiting for the final answer.
      target_latency_s: Time within which an answer is on time.
      rank: Urgency; 0 is the most urgent.
      replicas_max: Replicas that one request may be sent to.
      public: Needs no key.
      resumable: A broken stream may continue at another replica.
    """

    name: str
    kind: RouteKind
    backends: tuple[Backend, ...]
    timeout_s: float
    target_latency_s: float
    rank: int
    replicas_max: int
    public: bool
    resumable: bool

    @property
    def is_idempotent(self) -> bool:
        """Tells whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclasses.dataclass(frozen=True, slots=True)
class LoadBound:
    """Most running requests at one replica: `factor` x the mean + `slack`."""

    factor: float
    slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable replicas.

    Attributes:
      bound: What no replica may pass.
      placement: Policy for requests that share parts of a prompt.
    """

    name: str
    bound: LoadBound
    placement: str = "prefix"


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what a client sends and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
      rank: Replaces the route's; None leaves that.
      weight: Its share beside other accounts of a rank.
    """

    name: str
    rank: int | None = None
    weight: float = 1.0


# Who sends requests that need no key.
ANONYMOUS = Account("")


class Configuration(Protocol):
    """One version, in full.

    Attributes:
      version: As operators count it.
      services: By name.
      floors: Share of a service that each rank keeps in a flood of others, the
        most urgent rank first; empty if no rank has one.
    """

    version: int
    services: Mapping[str, Service]
    limits: Limits
    floors: tuple[float, ...]

    def find_route(self, request: requests.Request) -> Route | None:
        """Returns the route of a request."""

    def requires_account(self, route: Route) -> bool:
        """Tells whether requests on a route need the key of an account."""

    def find_account(self, account_key: str) -> Account | None:
        """Returns the account that holds a key."""
