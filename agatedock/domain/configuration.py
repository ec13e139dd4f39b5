"""Routes, services and client accounts of one version of the configuration."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import enum
from typing import Protocol

from agatedock.domain import requests


class RouteKind(enum.StrEnum):
    """Which requests of a route may be retried."""

    # Requests are idempotent, so all of them may be retried.
    SAFE = "safe"
    # Only requests that were certainly not run may be retried.
    UNSAFE = "unsafe"
    # Event streams, which are idempotent if the route is resumable.
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Backend:
    """One service behind a route, and its weight in the split of requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of a route go, and their limits.

    Attributes:
      name: Names the route in logs and metrics.
      kind: Which requests may be retried.
      backends: The services that requests are split over.
      timeout_s: Longest time that a client waits for the final response, all
        attempts included.
      target_latency_s: Target latency of a response.
      rank: Priority class; 0 is the highest.
      replicas_max: Replicas that one request may be sent to.
      public: Whether requests need no API key.
      resumable: Whether a broken stream may continue at another replica.
      regions: Regions whose replicas may serve it; None for all.
      target_gap_s: Longest pause within a stream for which it is on time; 0 if
        unknown.
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
    regions: frozenset[str] | None = None
    target_gap_s: float = 0.0

    @property
    def is_idempotent(self) -> bool:
        """Returns whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclasses.dataclass(frozen=True, slots=True)
class LoadBound:
    """Limit on the running requests of a replica: `factor` x mean + `slack`.

    The mean is that of all replicas of the service.
    """

    factor: float
    slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable replicas.

    Attributes:
      name: Name of the service.
      bound: Limit on the running requests of each replica.
      placement: Name of the placement policy for requests with shared prompt
        parts.
      cold_s: How long a replica is cold after a start; 0 if it never is.
      cold_rate: Requests per second that a cold replica takes from all routers
        together; None if it takes as many as others.
    """

    name: str
    bound: LoadBound
    placement: str = "prefix"
    cold_s: float = 0.0
    cold_rate: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the sizes and times of client requests."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
      name: Name of the account; empty for anonymous requests.
      rank: Replaces the rank of the route; None keeps it.
      weight: Its weight among the accounts of a rank, for fair shares.
      regions: Regions whose replicas may serve it; None for all.
    """

    name: str
    rank: int | None = None
    weight: float = 1.0
    regions: frozenset[str] | None = None


# The account of requests without an API key.
ANONYMOUS = Account("")


def list_homes(route: Route, account: Account) -> frozenset[str] | None:
    """Returns the regions whose replicas may serve a request; None for all.

    The homes of the route and those of the account both apply.
    """
    if route.regions is None or account.regions is None:
        return account.regions if route.regions is None else route.regions
    return route.regions & account.regions


class Configuration(Protocol):
    """One version of the configuration.

    Attributes:
      version: Version number as operators see it.
      services: Services by name.
      limits: Limits on client requests.
      floors: Guaranteed minimum share of each rank in the slots of a service,
        rank 0 first; empty if no rank has one.
    """

    version: int
    services: Mapping[str, Service]
    limits: Limits
    floors: tuple[float, ...]

    def find_route(self, request: requests.Request) -> Route | None:
        """Returns the route of a request, None if no route matches."""

    def requires_account(self, route: Route) -> bool:
        """Returns whether requests on a route need the key of an account."""

    def find_account(self, account_key: str) -> Account | None:
        """Returns the account with an API key, None if the key is unknown."""

    def find_named_route(self, name: str) -> Route | None:
        """Returns a route by its name, None if there is none."""

    def find_named_account(self, name: str) -> Account | None:
        """Returns an account by its name, None if there is none."""
