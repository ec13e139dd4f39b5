"""Chooses the replica of each attempt of one request."""

from __future__ import annotations

import asyncio

from agatedock import hashing
from agatedock.decisions import admission
from agatedock.decisions import pauses
from agatedock.decisions import placement
from agatedock.decisions import rate_limits
from agatedock.domain import configuration
from agatedock.domain import replicas
from agatedock.domain import requests
from agatedock.serving import crash_guard
from agatedock.serving import placer
from agatedock.serving import request_errors
from agatedock.serving import state

# Times that further replicas are queried after the owners of the first ones
# granted nothing.
FURTHER_ROUNDS_MAX = 2
_HASH_RANGE = 2**32


class ReplicaChooser:
    """Chooses replicas and remembers which ones were tried.

    Attributes:
      tried_ids: Ids of the replicas that were chosen before.
      reached_ids: Ids of those that may have received the request.
    """

    def __init__(
        self,
        shared: state.SharedState,
        request: requests.Request,
        guard: crash_guard.CrashGuard,
    ) -> None:
        """Starts without attempts.

        Args:
          shared: Views, budgets and reservations of the router.
          request: The client's request.
          guard: Knows at which replicas the request may crash.
        """
        self._shared = shared
        self._request = request
        self._guard = guard
        self._has_waited = False
        # Regions whose replicas may serve the request; None for all.
        self._homes: frozenset[str] | None = None
        self._placer = placer.Placer(shared.view, shared.reservations)
        self.tried_ids: set[str] = set()
        self.reached_ids: set[str] = set()

    async def choose(
        self,
        route: configuration.Route,
        service: configuration.Service,
        account: configuration.Account,
        rank: int,
    ) -> placement.Placement | None:
        """Chooses among replicas that were not tried yet, and reserves there.

        Once none is left, or the route's limit of replicas is reached, an
        idempotent request may go again to those that have received it.

        If rate limits leave no replica, it waits once for the first one, unless
        that takes longer than the target latency.

        Args:
          route: The route of the request.
          service: The service that it goes to.
          account: The client account.
          rank: Its rank; 0 is the highest.

        Returns:
          The placement, whose reservation the caller releases; None if no
          replica is available.
        """
        shared = self._shared
        self._homes = configuration.list_homes(route, account)
        rounds_left = FURTHER_ROUNDS_MAX
        while True:
            task = self._make_task(route, service, rank, shared.now())
            chosen = await self._placer.place(task, shared.now())
            if chosen is not None:
                if shared.is_available(chosen.replica, shared.now()):
                    return chosen
                # It began to drain or to pause while its owner was queried.
                shared.reservations.release(chosen.replica.replica_id)
                continue
            if self._list_untried_open(service.name) and rounds_left:
                rounds_left -= 1
                continue
            if not await self._wait_for_rate_limit(route, service.name):
                return None

    def _list_untried(self, service: str, now: float) -> list[replicas.Replica]:
        """Returns the replicas that the request may still be sent to."""
        usable = self._shared.directory.list_usable(service)
        available = self._shared.pauses.list_available(usable, now)
        return [
            item
            for item in self._select_home(available)
            if item.replica_id not in self.tried_ids
        ]

    def _select_home(
        self, candidates: list[replicas.Replica]
    ) -> list[replicas.Replica]:
        """Returns the replicas in regions that may serve the request."""
        homes = self._homes
        if homes is None:
            return candidates
        return [item for item in candidates if item.region in homes]

    def _list_untried_open(self, service: str) -> list[replicas.Replica]:
        """Returns those whose rate limit may allow a request now."""
        now = self._shared.now()
        untried = self._list_untried(service, now)
        return self._shared.replica_limits.list_open(untried, now)

    async def _wait_for_rate_limit(
        self, route: configuration.Route, service: str
    ) -> bool:
        """Waits once until a rate limit is likely to allow a request.

        Returns:
          Whether it waited.
        """
        now = self._shared.now()
        limits = self._shared.replica_limits
        wait_s = limits.compute_wait_s(self._list_untried(service, now), now)
        if self._has_waited or not 0 < wait_s <= route.target_latency_s:
            return False
        self._has_waited = True
        await asyncio.sleep(wait_s)
        return True

    def _make_task(
        self,
        route: configuration.Route,
        service: configuration.Service,
        rank: int,
        now: float,
    ) -> placement.Task:
        """Returns the replicas that the next attempt may go to."""
        available = self._shared.list_available(service.name, now)
        usable = self._guard.select_safe(self._select_home(available), now)
        tried = frozenset(self.tried_ids)
        # A replica that failed a request, or whose connection broke, may
        # serve it at the second attempt.
        retry_ids = frozenset(
            replica.replica_id
            for replica in usable
            if replica.replica_id in self.reached_ids
        )
        reached_limit = len(self.reached_ids) >= route.replicas_max
        has_untried = any(replica.replica_id not in tried for replica in usable)
        if (
            route.is_idempotent
            and retry_ids
            and (reached_limit or not has_untried)
        ):
            tried = frozenset()
        else:
            retry_ids = frozenset()
        return placement.Task(
            self._request,
            service,
            usable,
            tried,
            retry_ids,
            rank,
            self._shared.replica_limits.list_recently_limited(usable, now),
            self._homes,
        )

    def make_error(
        self, service: str, now: float
    ) -> request_errors.RequestError:
        """Returns why no replica could be chosen, and when to come back."""
        limited = self._list_untried(service, now)
        limits = self._shared.replica_limits
        if limited and all(limits.is_binding(item, now) for item in limited):
            return self._make_rate_limit_error(service, limited, now)
        usable = self._select_home(self._shared.directory.list_usable(service))
        available = self._shared.pauses.list_available(usable, now)
        if available or not usable:
            return request_errors.RequestError(
                request_errors.ErrorCode.NO_UPSTREAM,
                f"no replica of {service} is left to try",
                retry_after_s=admission.NO_REPLICA_RETRY_AFTER_S,
            )
        wait_s = self._shared.pauses.compute_wait_s(usable, now)
        return request_errors.RequestError(
            request_errors.ErrorCode.REPLICAS_PAUSED,
            f"all {len(usable)} replicas of {service} asked for a pause, "
            f"the first for {wait_s:.2f} s more",
            retry_after_s=pauses.compute_return_s(
                wait_s, self._request.request_id
            ),
        )

    def _make_rate_limit_error(
        self, service: str, limited: list[replicas.Replica], now: float
    ) -> request_errors.RequestError:
        limits = self._shared.replica_limits
        wait_s = limits.compute_wait_s(limited, now)
        age_s = limits.find_answer_age_s(limited, now)
        fraction = hashing.hash_name(self._request.request_id) / _HASH_RANGE
        return request_errors.RequestError(
            request_errors.ErrorCode.RATE_LIMITED,
            f"all {len(limited)} replicas of {service} that are left are cold "
            f"or named a rate limit, the last {age_s:.2f} s ago; the first "
            f"takes a request in {wait_s:.2f} s",
            retry_after_s=rate_limits.compute_return_s(wait_s, fraction),
        )
