"""Routes, services and client accounts as one version of the configuration."""

from __future__ import annotations

import dataclasses
import enum


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
    """Where requests of one host and path prefix go, and on what terms.

    Attributes:
      timeout_s: Longest time a client is kept waiting for the final answer.
      target_s: Time within which an answer is on time.
      rank: Urgency; 0 is the most urgent.
      replicas_max: Replicas that one request may be sent to.
      public: Needs no key.
      resumable: A broken stream may continue at another replica.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    backends: tuple[Backend, ...]
    timeout_s: float
    target_s: float
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
class Service:
    """A set of interchangeable replicas."""

    name: str
    connections_max: int


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what a client sends and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account; its rank, if any, replaces the route's."""

    name: str
    rank: int | None


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version, in full.

    Attributes:
      routes: By host, then by path prefix.
      accounts: By API key; None if no route asks for a key.
    """

    version: int
    routes: dict[str, dict[str, Route]]
    services: dict[str, Service]
    limits: Limits
    accounts: dict[str, Account] | None

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins the path."""
        by_prefix = self.routes.get(host)
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
