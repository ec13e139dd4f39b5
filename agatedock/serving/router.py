"""The parts of a router that are the same on every interface."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import logging

from aiohttp import web

from agatedock import addresses
from agatedock import errors
from agatedock import logs
from agatedock import metrics
from agatedock.domain import requests
from agatedock.peers import endpoint
from agatedock.peers import followers
from agatedock.peers import gossip
from agatedock.peers import listings
from agatedock.peers import relay
from agatedock.peers import reservations
from agatedock.serving import downstream
from agatedock.serving import frontend
from agatedock.serving import reporter
from agatedock.serving import request_handler
from agatedock.serving import state

_log = logging.getLogger(__name__)

DRAIN_POLL_S = 0.1
# Before a task that failed is started again.
TASK_RESTART_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class DrainTimes:
    """How a router ends; times in seconds after it was told to.

    Attributes:
      deregistration_delay_s: By then no more clients are sent here, and
        connections without a request are closed.
      accept_until_s: A request that comes later is refused: its answer might
        not be complete when the process ends.
      idle_linger_s: Connections that have sent nothing yet are waited for until
        then.
      grace_s: The process ends by then at the latest.
    """

    deregistration_delay_s: float
    accept_until_s: float
    idle_linger_s: float
    grace_s: float


def _count_no_requests() -> int:
    """Returns what is unfinished beside requests in flight."""
    return 0


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """What an interface gives to its router.

    Attributes:
      count_pending_requests: Returns how much work goes on without a client.
    """

    shared: state.SharedState
    source: listings.ListingSource
    item_decoder: listings.ItemDecoder
    http_handler: frontend.HttpHandler
    reporter: reporter.Reporter
    count_pending_requests: Callable[[], int] = _count_no_requests


class Router:
    """Serves clients, follows the store and talks to peers.

    Attributes:
      frontend: Listener for clients.
      follower: Follower of the store.
      gossip: Exchange of rows with peers.
      endpoint: The socket for that and for reservations.
    """

    def __init__(
        self,
        identity: gossip.Identity,
        dependencies: Dependencies,
        drain_times: DrainTimes,
    ) -> None:
        self.identity = identity
        self.shared = dependencies.shared
        self.drain_times = drain_times
        self._reporter = dependencies.reporter
        self._count_pending_requests = dependencies.count_pending_requests
        self._draining_since: float | None = None
        self._running = 0
        self.frontend = frontend.Frontend(dependencies.http_handler)
        self.endpoint = endpoint.Endpoint(self.shared.now)
        self.gossip = gossip.Gossip(
            identity,
            self.endpoint,
            self.shared.routers,
            get_listed_routers=lambda: self.follower.listed_routers,
            get_revision=lambda: self.shared.configuration_view.revision,
            get_running=self.shared.occupancy.list_counts,
            now=self.shared.now,
        )
        self.shared.reservations = reservations.ReservationService(
            self.endpoint,
            self.gossip,
            self.shared.routers,
            self.shared.loads,
            self.shared.now,
        )
        self._listing_client = relay.ListingClient()
        self.follower = followers.Follower(
            dependencies.source,
            dependencies.item_decoder,
            self._listing_client,
            self.gossip,
            self.shared,
            self._apply_configuration,
        )
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def is_stopping(self) -> bool:
        """Tells whether the router was told to end."""
        return self._draining_since is not None

    def get_drain_elapsed_s(self) -> float:
        """Returns how long ago the router was told to end; 0 if it was not."""
        if self._draining_since is None:
            return 0.0
        return self.shared.now() - self._draining_since

    def count_running(self) -> int:
        """Returns the requests being served."""
        return self._running

    async def listen(
        self, client_address: addresses.Address, peer_address: addresses.Address
    ) -> int:
        """Listens for peers' news and for clients.

        Returns:
          The port for clients.

        Raises:
          errors.UserError: An address cannot be used.
        """
        try:
            await self.endpoint.start(*peer_address)
            return await self.frontend.start(*client_address)
        except OSError as error:
            raise errors.UserError(f"cannot listen: {error}") from error

    def start(self, *extra_tasks: Callable[[], Awaitable[None]]) -> None:
        """Starts the tasks of the router, and further ones."""
        own_tasks = (
            self.follower.run,
            self.gossip.run,
            self.shared.reservations.run,
        )
        for run_task in (*own_tasks, *extra_tasks):
            self._tasks.append(asyncio.create_task(run_with_restart(run_task)))

    async def handle_request(
        self, request: requests.Request, client: downstream.Downstream
    ) -> request_handler.RequestHandler:
        """Serves one request and reports it; returns what became of it."""
        handler = request_handler.RequestHandler(self.shared, request, client)
        self._running += 1
        try:
            if self._accepts_requests():
                await handler.handle()
            else:
                await handler.reject_stopping()
        finally:
            self._running -= 1
            self._reporter.report(
                handler.log_entry, request.arrived_at, self.shared.now()
            )
        return handler

    async def drain(self) -> None:
        """Serves what is open until clients are gone or time is up."""
        now = self.shared.now
        began_at = now()
        self._draining_since = began_at
        self.frontend.disable_keepalive()
        logs.event(_log, "stopping", requests=self._running)
        idle_closed = False
        while now() - began_at < self.drain_times.grace_s:
            await asyncio.sleep(DRAIN_POLL_S)
            if now() - began_at < self.drain_times.deregistration_delay_s:
                continue
            self.frontend.close_idle_connections()
            if idle_closed and self._is_drained(now() - began_at):
                return
            idle_closed = True

    def _is_drained(self, elapsed_s: float) -> bool:
        if self._running or self._count_pending_requests():
            return False
        return (
            not self.frontend.count_connections()
            or elapsed_s >= self.drain_times.idle_linger_s
        )

    async def close(self) -> None:
        """Ends the tasks, and closes all listeners and connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.endpoint.stop()
        await self.frontend.stop()
        await self.shared.replica_client.close()
        await self._listing_client.close()
        logs.event(_log, "stopped", requests_cut=self._running)

    def serve_listing(self, http_request: web.BaseRequest) -> web.Response:
        """Returns what an asking peer lacks of the latest listing."""
        return self.follower.answer_listing_request(http_request)

    def set_gauges(self, meters: metrics.Metrics) -> None:
        """Sets the gauges of this router for a scrape."""
        view = self.shared.configuration_view
        gauges = {
            "agatedock_configuration_revision": view.revision,
            "agatedock_configuration_age_seconds": view.age_s(
                self.shared.now()
            ),
            "agatedock_requests_running": self._running,
            "agatedock_peer_rows_age_seconds": self.shared.routers.mean_age_s(
                self.shared.now()
            ),
            "agatedock_peers": self.shared.routers.count(),
            "agatedock_replicas": self.shared.directory.count(),
            "agatedock_questions_unanswered": (
                self.shared.reservations.owner_timeouts
            ),
            "agatedock_peer_bytes_sent": self.endpoint.bytes_sent,
            "agatedock_log_lines_lost": logs.count_lost_lines(),
        }
        for name, value in gauges.items():
            meters.set_gauge(name, value)

    def _accepts_requests(self) -> bool:
        draining_since = self._draining_since
        if draining_since is None:
            return True
        return (
            self.shared.now() - draining_since < self.drain_times.accept_until_s
        )

    def _apply_configuration(self) -> None:
        config = self.shared.configuration_view.current
        if config is not None:
            self.frontend.apply_limits(config.limits)


async def run_with_restart(run_task: Callable[[], Awaitable[None]]) -> None:
    """Runs a task that has no end, again after a bug of its own."""
    while True:
        try:
            await run_task()
        except Exception as error:  # noqa: BLE001
            logs.event(_log, "internal_error", logging.ERROR, error=repr(error))
            _log.debug("traceback", exc_info=True)
            await asyncio.sleep(TASK_RESTART_S)
