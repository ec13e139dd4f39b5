"""The parts of a router that do not depend on its API.

Both the native API and the API of the hosting platform use them.
"""

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
from agatedock.decisions import client_limits
from agatedock.decisions import draining
from agatedock.domain import requests
from agatedock.peers import endpoint
from agatedock.peers import evidence_exchange
from agatedock.peers import followers
from agatedock.peers import gossip
from agatedock.peers import listings
from agatedock.peers import relay
from agatedock.peers import reservations
from agatedock.peers import run_exchange
from agatedock.peers import run_news
from agatedock.serving import downstream
from agatedock.serving import frontend
from agatedock.serving import gauges
from agatedock.serving import loop_monitor
from agatedock.serving import reporter
from agatedock.serving import request_handler
from agatedock.serving import state

_log = logging.getLogger(__name__)

DRAIN_POLL_S = 0.1
# Delay before a task that failed with an internal error is restarted.
TASK_RESTART_S = 1.0


def _count_no_requests() -> int:
    """Returns 0, for an API without work that outlives its clients."""
    return 0


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """What an API provides to its router.

    Attributes:
      shared: State that the request handlers share.
      source: Reads the listings from the store.
      item_decoder: Decodes the items of a listing.
      http_handler: Handles the HTTP requests of clients.
      reporter: Logs and counts the requests.
      client_limits: What all clients together may make the process hold.
      count_pending_requests: Returns the number of requests that run on after
        their client has disconnected.
    """

    shared: state.SharedState
    source: listings.ListingSource
    item_decoder: listings.ItemDecoder
    http_handler: frontend.HttpHandler
    reporter: reporter.Reporter
    client_limits: client_limits.ClientLimits = client_limits.ClientLimits()
    count_pending_requests: Callable[[], int] = _count_no_requests


class Router:
    """Serves clients, follows the store and exchanges messages with peers.

    Attributes:
      identity: Name and location of this router.
      shared: State that the request handlers share.
      frontend: HTTP server for clients.
      follower: Keeps the local copy of the store's listing up to date.
      gossip: Exchanges router status with peers.
      endpoint: UDP socket for gossip and reservations.
    """

    def __init__(
        self,
        identity: gossip.Identity,
        dependencies: Dependencies,
        drain_times: draining.DrainTimes,
    ) -> None:
        self.identity = identity
        self.shared = dependencies.shared
        self.shared.drain.times = drain_times
        self._reporter = dependencies.reporter
        self._count_pending_requests = dependencies.count_pending_requests
        self._handlers: set[request_handler.RequestHandler] = set()
        self.frontend = frontend.Frontend(
            dependencies.http_handler, dependencies.client_limits
        )
        self.endpoint = endpoint.Endpoint(self.shared.now)
        self.gossip = gossip.Gossip(
            identity,
            self.endpoint,
            self.shared.routers,
            get_listed_routers=lambda: self.follower.listed_routers,
            get_version=lambda: self.shared.configuration_view.version,
            get_running=self.shared.occupancy.list_counts,
            now=self.shared.now,
        )
        self.shared.reservations = reservations.ReservationService(
            self.endpoint,
            self.gossip,
            self.shared.routers,
            self.shared.loads,
            self.shared.replica_limits,
            self.shared.now,
        )
        self.shared.replica_limits.router_name = identity.name
        self._evidence_exchange = evidence_exchange.EvidenceExchange(
            self.endpoint,
            self.gossip,
            self.shared.crash_evidence,
            self.shared.now,
        )
        self._run_exchanges = self._make_run_exchanges()
        self._listing_client = relay.ListingClient()
        self._loop_monitor = loop_monitor.LoopMonitor()
        self.follower = followers.Follower(
            dependencies.source,
            dependencies.item_decoder,
            self._listing_client,
            self.gossip,
            self.endpoint,
            self.shared,
            self._apply_configuration,
        )
        self._tasks: list[asyncio.Task[None]] = []

    def _make_run_exchanges(self) -> list[run_exchange.RunExchange]:
        shared = self.shared
        return [
            run_exchange.RunExchange(
                news,
                self.endpoint,
                self.gossip,
                shared.directory,
                shared.health,
                shared.now,
            )
            for news in (
                run_news.make_draining_news(shared.directory),
                run_news.make_silence_news(shared.silences),
            )
        ]

    @property
    def is_stopping(self) -> bool:
        """Returns whether the router is draining."""
        return self.shared.drain.began_at is not None

    def get_drain_elapsed_s(self) -> float:
        """Returns the seconds since draining began; 0 if it has not."""
        return self.shared.drain.get_elapsed_s(self.shared.now())

    def count_running(self) -> int:
        """Returns the number of requests in flight."""
        return len(self._handlers)

    async def listen(
        self, client_address: addresses.Address, peer_address: addresses.Address
    ) -> int:
        """Listens for clients and for datagrams of peers.

        Returns:
          The port for clients.

        Raises:
          errors.UserError: An address cannot be bound.
        """
        try:
            await self.endpoint.start(*peer_address)
            return await self.frontend.start(*client_address)
        except OSError as error:
            raise errors.UserError(f"cannot listen: {error}") from error

    def start(self, *extra_tasks: Callable[[], Awaitable[None]]) -> None:
        """Starts the router's background tasks and any extra ones."""
        own_tasks = (
            self.follower.run,
            self.gossip.run,
            self.shared.reservations.run,
            self._evidence_exchange.run,
            self._run_exchange_rounds,
            self._loop_monitor.run,
        )
        for run_task in (*own_tasks, *extra_tasks):
            self._tasks.append(asyncio.create_task(run_with_restart(run_task)))

    async def _run_exchange_rounds(self) -> None:
        await run_exchange.run(self._run_exchanges, self.shared.now)

    async def handle_request(
        self, request: requests.Request, client: downstream.Downstream
    ) -> request_handler.RequestHandler:
        """Serves one request and reports its result.

        Returns:
          The handler, with the request's log entry and error.
        """
        handler = request_handler.RequestHandler(self.shared, request, client)
        self._handlers.add(handler)
        try:
            if self.shared.drain.accepts_requests(self.shared.now()):
                await handler.handle()
            else:
                await handler.reject_stopping()
        finally:
            self._handlers.discard(handler)
            self._reporter.report(
                handler.log_entry, request.arrived_at, self.shared.now()
            )
        return handler

    async def drain(self) -> None:
        """Keeps serving until the router is drained or the grace period ends.

        Idle connections are closed in every round after the deregistration
        delay. The drain ends in the second of these rounds at the earliest.
        """
        drain = self.shared.drain
        drain.begin(self.shared.now())
        self.frontend.disable_keepalive()
        logs.event(_log, "stopping", requests=self.count_running())
        for handler in self._handlers:
            handler.limit_time(drain.get_answer_time_s(self.shared.now()))
        idle_closed = False
        while self.get_drain_elapsed_s() < drain.times.grace_s:
            await asyncio.sleep(DRAIN_POLL_S)
            elapsed_s = self.get_drain_elapsed_s()
            if elapsed_s < drain.times.deregistration_delay_s:
                continue
            self.frontend.close_idle_connections()
            if idle_closed and self._is_drained(elapsed_s):
                return
            idle_closed = True

    def _is_drained(self, elapsed_s: float) -> bool:
        """Returns whether no request and no connection is to be waited for."""
        if self._handlers or self._count_pending_requests():
            return False
        return (
            not self.frontend.count_connections()
            or elapsed_s >= self.shared.drain.times.idle_linger_s
        )

    async def close(self) -> None:
        """Cancels the background tasks; closes listeners and connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.endpoint.stop()
        await self.frontend.stop()
        await self.shared.replica_client.close()
        await self._listing_client.close()
        logs.event(_log, "stopped", requests_cut=self.count_running())

    def serve_listing(self, http_request: web.BaseRequest) -> web.Response:
        """Returns the changes of the listing that the requesting peer lacks."""
        return self.follower.serve_listing_request(http_request)

    def set_gauges(self, meters: metrics.Metrics) -> None:
        """Sets this router's gauges before a metrics scrape."""
        gauges.set_shared_gauges(self.shared, meters)
        gauges.set_replica_gauges(self.shared, meters)
        gauges.set_client_gauges(self.frontend, meters)
        own_gauges = {
            "agatedock_store_era": self.follower.listing.era,
            "agatedock_requests_running": self.count_running(),
            "agatedock_peer_bytes_sent": self.endpoint.bytes_sent,
            "agatedock_event_loop_lag_seconds": (
                self._loop_monitor.take_longest_s()
            ),
        }
        for name, value in own_gauges.items():
            meters.set_gauge(name, value)

    def _apply_configuration(self) -> None:
        config = self.shared.configuration_view.current
        if config is not None:
            self.frontend.apply_limits(config.limits)


async def run_with_restart(run_task: Callable[[], Awaitable[None]]) -> None:
    """Runs an endless task, and restarts it after an internal error."""
    while True:
        try:
            await run_task()
        except Exception as error:  # noqa: BLE001
            logs.event(_log, "internal_error", logging.ERROR, error=repr(error))
            _log.debug("traceback", exc_info=True)
            await asyncio.sleep(TASK_RESTART_S)
