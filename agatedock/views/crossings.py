"""The share of each service's requests that leaves this failure domain."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import logging

from agatedock import logs
from agatedock.decisions import crossing
from agatedock.domain import replicas
from agatedock.views import routers

_log = logging.getLogger(__name__)

# A share is computed again after this time.
UPDATE_INTERVAL_S = 0.25


@dataclasses.dataclass(slots=True)
class _Decision:
    """The latest share of a service, and when it was computed."""

    share: float
    at: float


class Crossings:
    """Computes shares from router statuses and the usable replicas.

    Attributes:
      domain: Failure domain of this router; empty if failure domains are not
        considered, then no share is known.
    """

    def __init__(
        self,
        domain: str,
        membership: routers.Routers,
        list_usable: Callable[[str], list[replicas.Replica]],
        count_own: Callable[[str], int],
        now: Callable[[], float],
    ) -> None:
        """Starts without a decision.

        Args:
          domain: Failure domain of this router; empty to consider none.
          membership: The other routers and what they run.
          list_usable: Returns the usable replicas of a service.
          count_own: Returns this router's running requests of a service.
          now: Returns the present time in seconds.
        """
        self.domain = domain
        self._membership = membership
        self._list_usable = list_usable
        self._count_own = count_own
        self._now = now
        self._decisions: dict[str, _Decision] = {}

    def get_share(self, service: str) -> float | None:
        """Returns the share that leaves; None if domains are not considered."""
        if not self.domain:
            return None
        now = self._now()
        decision = self._decisions.get(service)
        if decision is not None and now - decision.at < UPDATE_INTERVAL_S:
            return decision.share
        share_before = 0.0 if decision is None else decision.share
        own, others = self.measure(service)
        share = crossing.compute_leaving_share(own, others, share_before)
        self._decisions[service] = _Decision(share, now)
        if share != share_before:
            logs.event(
                _log,
                "leaving_share",
                service=service,
                share=share,
                demand=own.demand,
                slots=own.slots,
                other_demand=others.demand,
                other_slots=others.slots,
            )
        return share

    def measure(
        self, service: str
    ) -> tuple[crossing.DomainLoad, crossing.DomainLoad]:
        """Returns the load of this failure domain, and of all others."""
        by_domain = self._membership.sum_running_by_domain(service)
        own_demand = by_domain.pop(self.domain, 0) + self._count_own(service)
        own_slots = other_slots = 0
        for replica in self._list_usable(service):
            if replica.zone == self.domain:
                own_slots += replica.slots
            else:
                other_slots += replica.slots
        return (
            crossing.DomainLoad(own_demand, own_slots),
            crossing.DomainLoad(sum(by_domain.values()), other_slots),
        )

    def list_shares(self) -> dict[str, float]:
        """Returns the latest share by service."""
        return {name: item.share for name, item in self._decisions.items()}
