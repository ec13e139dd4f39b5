"""Watches replicas that send nothing while requests wait for them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import logging

from agatedock import logs
from agatedock.decisions import silence
from agatedock.domain import configuration
from agatedock.domain import replicas
from agatedock.views import health

_log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class _Watch:
    """One request that waits for a replica."""

    replica: replicas.Replica
    route: configuration.Route
    sent_at: float
    has_begun: Callable[[], bool]
    timer: asyncio.TimerHandle | None = None


class Silences:
    """Prefers others to a replica that has sent nothing for too long.

    Attributes:
      is_enabled: Whether replicas are watched.
      told: Silent replicas, for other routers; whoever tells them removes the
        replicas.
      count: Times that a replica was found silent.
    """

    def __init__(
        self, replica_health: health.ReplicaHealth, now: Callable[[], float]
    ) -> None:
        """Starts without requests.

        Args:
          replica_health: Knows when replicas last sent anything.
          now: Returns the present time in seconds.
        """
        self._health = replica_health
        self._now = now
        self.is_enabled = False
        self.told: list[replicas.Replica] = []
        self.count = 0

    @contextlib.contextmanager
    def watch(
        self,
        replica: replicas.Replica,
        route: configuration.Route,
        has_begun: Callable[[], bool],
    ) -> Iterator[None]:
        """Watches a replica while a request waits for it.

        Args:
          replica: The replica.
          route: The route of the request.
          has_begun: Returns whether the response has begun.
        """
        if not self.is_enabled:
            yield
            return
        watch = _Watch(replica, route, self._now(), has_begun)
        self._schedule(watch, silence.compute_limit_s(route, False))
        try:
            yield
        finally:
            if watch.timer is not None:
                watch.timer.cancel()

    def _schedule(self, watch: _Watch, wait_s: float) -> None:
        loop = asyncio.get_running_loop()
        watch.timer = loop.call_later(wait_s, self._check, watch)

    def _check(self, watch: _Watch) -> None:
        now = self._now()
        replica_id = watch.replica.replica_id
        last_at = self._health.get_last_activity_at(replica_id)
        limit_s = silence.compute_limit_s(watch.route, watch.has_begun())
        wait_s = silence.compute_wait_s(limit_s, watch.sent_at, last_at, now)
        if not wait_s:
            self._record_silent(watch, now - max(watch.sent_at, last_at), now)
            wait_s = silence.AVOIDED_S
        self._schedule(watch, wait_s)

    def _record_silent(
        self, watch: _Watch, silent_s: float, now: float
    ) -> None:
        replica_id = watch.replica.replica_id
        is_known = self._health.is_suspended(replica_id, now)
        self._health.suspend(replica_id, now + silence.AVOIDED_S)
        if is_known:
            return
        self.count += 1
        self.told.append(watch.replica)
        logs.event(
            _log,
            "replica_silent",
            logging.WARNING,
            replica=replica_id,
            silent_ms=round(1000 * silent_s),
            has_begun=watch.has_begun(),
        )
