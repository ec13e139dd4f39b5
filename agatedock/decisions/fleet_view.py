"""What a placement is decided from: one router's view of the fleet."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Set
import dataclasses
from typing import Protocol

from agatedock.domain import replicas
from agatedock.views import prefixes


class LoadView(Protocol):
    """This router's view of the running requests of each replica."""

    def count_total(self, replica_id: str) -> int:
        """Returns the requests running at a replica, from all routers."""

    def get_reported(self, replica_id: str, since: float) -> int | None:
        """Returns the same count, None if it was last reported before then."""


class HealthView(Protocol):
    """This router's view of the health of each replica."""

    def is_suspended(self, replica_id: str, now: float) -> bool:
        """Returns whether a replica is suspended, as it was unreachable."""

    def failure_rate(self, replica_id: str, now: float) -> float:
        """Returns the decaying average of failed responses, 0 to 1."""

    def list_degraded(self, now: float) -> Set[str]:
        """Returns the ids of replicas that are suspended or failed recently."""


class LimitView(Protocol):
    """This router's view of the rate limits of replicas."""

    def get_rate(self, replica: replicas.Replica, now: float) -> float | None:
        """Returns the limit in requests per second, None if there is none."""

    def list_unlimited(
        self, candidates: list[replicas.Replica], now: float
    ) -> list[replicas.Replica]:
        """Returns the replicas without a limit."""

    def is_binding(self, replica: replicas.Replica, now: float) -> bool:
        """Returns whether this router knows of the limit at first hand."""

    def record_denial(
        self, replica: replicas.Replica, wait_s: float, now: float
    ) -> None:
        """Records that the owner grants no request for some time."""

    def record_owner_reply(self, replica: replicas.Replica) -> None:
        """Records that the owner of the replica's count replied."""

    def take_local_share(
        self, replica: replicas.Replica, router_count: int, now: float
    ) -> bool:
        """Returns whether a request may be sent though the owner is silent."""


@dataclasses.dataclass(frozen=True)
class FleetView:
    """Everything that a placement is decided from.

    Attributes:
      loads: Running requests by replica.
      health: Failure rates and suspensions by replica.
      prefixes: Holders of prompt parts.
      find_replica: Returns the replica with a hash of its id, None if there is
        none.
      count_running: Returns the running requests of a service, from all
        routers.
      count_peers: Returns how many other routers place requests.
      zone: Failure domain of this router.
      is_paused: Returns whether a replica is to get no requests at a time.
      limits: Rate limits of replicas.
      is_evacuated: Returns whether a failure domain gets nothing new.
      get_slowness: Returns how many times as long as usual work takes at a
        replica.
      get_leaving_share: Returns which share of a service's requests is sent to
        other failure domains, by the present load; None if domains are not
        considered.
    """

    loads: LoadView
    health: HealthView
    prefixes: prefixes.PrefixIndex
    find_replica: Callable[[int], replicas.Replica | None]
    count_running: Callable[[str], int]
    count_peers: Callable[[], int]
    zone: str
    limits: LimitView
    is_paused: Callable[[replicas.Replica, float], bool] = lambda *_: False
    is_evacuated: Callable[[str], bool] = lambda _: False
    get_slowness: Callable[[str], float] = lambda _: 1.0
    get_leaving_share: Callable[[str], float | None] = lambda _: None
