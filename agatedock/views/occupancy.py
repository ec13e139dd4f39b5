"""This router's running requests by service, rank and account.

A rank is a priority class, 0 the highest.
"""

from __future__ import annotations

import collections
import dataclasses

# A rank or account that sent a request within this time has demand, so its
# share is kept for it.
DEMAND_RECENT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Flow:
    """The service, rank and account that a request belongs to.

    Attributes:
      service: Name of the service.
      rank: Priority class, 0 the highest.
      account: Name of the client account; empty for anonymous requests.
      weight: Weight of the account among the accounts of its rank.
    """

    service: str
    rank: int
    account: str
    weight: float


@dataclasses.dataclass(slots=True)
class _RankState:
    running: int = 0
    last_demand_at: float = float("-inf")
    by_account: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    # Weight of each account and time of its latest request.
    demand: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )


class Occupancy:
    """Counts of this router's requests only.

    Clients are spread over the routers, so each router sees about the same mix
    of ranks and accounts.
    """

    def __init__(self) -> None:
        self._ranks: dict[tuple[str, int], _RankState] = {}
        self._totals: collections.Counter[str] = collections.Counter()

    def record_demand(self, flow: Flow, now: float) -> None:
        """Records that a request of a flow has arrived."""
        rank = self._get(flow.service, flow.rank)
        rank.last_demand_at = now
        rank.demand[flow.account] = (flow.weight, now)

    def begin(self, flow: Flow) -> None:
        """Counts a request as running."""
        rank = self._get(flow.service, flow.rank)
        rank.running += 1
        rank.by_account[flow.account] += 1
        self._totals[flow.service] += 1

    def end(self, flow: Flow) -> None:
        """Counts a request as ended."""
        rank = self._get(flow.service, flow.rank)
        rank.running -= 1
        rank.by_account[flow.account] -= 1
        if not rank.by_account[flow.account]:
            del rank.by_account[flow.account]
        self._totals[flow.service] -= 1

    def count_service(self, service: str) -> int:
        """Returns the running requests of a service."""
        return self._totals[service]

    def list_counts(self) -> dict[str, int]:
        """Returns the running requests by service."""
        return dict(self._totals)

    def count_rank(self, service: str, rank: int) -> int:
        """Returns the running requests of a rank."""
        return self._get(service, rank).running

    def has_demand(self, service: str, rank: int, now: float) -> bool:
        """Returns whether a rank has sent a request recently."""
        return now - self._get(service, rank).last_demand_at <= DEMAND_RECENT_S

    def count_flow(self, flow: Flow) -> int:
        """Returns the running requests of an account in a rank."""
        return self._get(flow.service, flow.rank).by_account[flow.account]

    def sum_weights(self, service: str, rank: int, now: float) -> float:
        """Returns the sum of the weights of all active accounts of a rank.

        An account is active if it has running requests or recent demand.
        """
        state = self._get(service, rank)
        for name, (_, demand_at) in list(state.demand.items()):
            idle = not state.by_account[name]
            if idle and now - demand_at > DEMAND_RECENT_S:
                del state.demand[name]
        return sum(weight for weight, _ in state.demand.values())

    def fraction_ahead(self, service: str, rank: int) -> float:
        """Returns the fraction of running requests of this or a higher rank.

        Returns 1 if the service has no running requests.
        """
        total = self._totals[service]
        if not total:
            return 1.0
        ahead = sum(
            state.running
            for (name, other), state in self._ranks.items()
            if name == service and other <= rank
        )
        return ahead / total

    def _get(self, service: str, rank: int) -> _RankState:
        key = (service, rank)
        state = self._ranks.get(key)
        if state is None:
            state = self._ranks[key] = _RankState()
        return state
