"""Creates a router with the native API from its settings and runs it."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
import resource
import uuid

from agatedock import clock
from agatedock import errors
from agatedock import external
from agatedock import logs
from agatedock import metrics
from agatedock.decisions import client_limits
from agatedock.decisions import draining
from agatedock.decisions import retries
from agatedock.native import admin
from agatedock.native import catalog
from agatedock.native import client_api
from agatedock.native import native_configuration
from agatedock.native import native_dialect
from agatedock.native import recent_requests
from agatedock.native import settings
from agatedock.peers import gossip
from agatedock.serving import listener
from agatedock.serving import replica_client
from agatedock.serving import reporter
from agatedock.serving import router as routers
from agatedock.serving import state

_log = logging.getLogger(__name__)

# Retries that each router may make per window in addition to the configured
# ratio of its requests: as many as the streams that it may have on one failed
# engine.
RETRY_SLACK = 20.0
# Interval at which the retry limits follow the configuration and the number of
# routers.
RETRY_LIMITS_UPDATE_S = 1.0
RETRY_WINDOW_S = 10.0
RETRY_RATIO_DEFAULT = 0.1
# Time for a load balancer in front to see that the router is not ready, and for
# its draining status to reach peers.
DEREGISTRATION_DELAY_S = 1.0
# A client that connected before the load balancer saw this may still send its
# first request, so such connections keep the router running until then.
IDLE_LINGER_S = 2.0
# Attempts to find a peer port that is free for both TCP and UDP.
PORT_TRIES = 20
_MS_PER_S = 1000
_BYTES_PER_MB = 1_000_000


@dataclasses.dataclass(frozen=True)
class Ports:
    """Ports that a running router listens on.

    Attributes:
      caller: TCP port for clients.
      peer: TCP and UDP port for peers and operators.
    """

    caller: int
    peer: int


class RouterApp:
    """One router process with the native API.

    Attributes:
      core: The router, which is the same for every API.
    """

    def __init__(self, config: settings.Settings) -> None:
        self._config = config
        limits = config.limits
        self._kv = open_key_value(config.platform)
        self._vms = open_vm_list(config.platform)
        self._catalog = catalog.Catalog(
            self._kv, self._vms, limits, f"{config.name}/{uuid.uuid4()}"
        )
        process_metrics = metrics.Metrics()
        recent = recent_requests.RecentRequests()
        request_reporter = reporter.Reporter(process_metrics, recent)
        self._client_api = client_api.ClientApi(
            limits, self._kv, request_reporter
        )
        self._admin = admin.Admin(self._catalog, recent, process_metrics)
        self._peer_listener = _make_peer_listener(self._admin, limits)
        dependencies = routers.Dependencies(
            shared=state.SharedState(
                now=clock.read_steady_s,
                zone=config.failure_domain,
                timeouts=state.Timeouts(
                    # The last configuration stays valid for as long as the
                    # key-value service is unavailable.
                    configuration_max_age_s=math.inf,
                    stream_idle_timeout_s=limits.upstream_silence_ms
                    / _MS_PER_S,
                ),
                dialect=native_dialect.NativeDialect(),
                replica_client=replica_client.ReplicaClient(),
                budget=retries.Budget(
                    _make_retry_limits(
                        RETRY_RATIO_DEFAULT, retries.ROUTER_COUNT_MIN
                    )
                ),
            ),
            source=self._catalog,
            item_decoder=self._catalog,
            http_handler=self._client_api.serve,
            reporter=request_reporter,
            client_limits=client_limits.compute_limits(
                *_read_resources(limits)
            ),
            count_pending_requests=self._client_api.count_pending_requests,
        )
        self.core = routers.Router(
            gossip.Identity(
                config.name,
                config.failure_domain,
                config.listen.link_mbps,
                clock.read_wall_ms(),
            ),
            dependencies,
            draining.DrainTimes(
                deregistration_delay_s=DEREGISTRATION_DELAY_S,
                accept_until_s=math.inf,
                idle_linger_s=IDLE_LINGER_S,
                grace_s=limits.drain_timeout_ms / _MS_PER_S,
            ),
        )
        self._client_api.router = self.core
        self._admin.router = self.core

    async def run(self, stop: asyncio.Event) -> None:
        """Serves requests until `stop` is set, then drains and closes.

        Raises:
          errors.UserError: A port cannot be bound.
        """
        self.core.start(self._update_retry_limits)
        try:
            ports = await self._listen()
            logs.event(_log, "started", **dataclasses.asdict(ports))
            await stop.wait()
            await self.core.drain()
        finally:
            self._peer_listener.stop()
            await self.core.close()
            await self._kv.close()
            await self._vms.close()

    async def _listen(self) -> Ports:
        listen = self._config.listen
        client_address = (listen.host, listen.caller_port)
        for _ in range(PORT_TRIES):
            peer_port = await self._listen_for_peers()
            try:
                caller_port = await self.core.listen(
                    client_address, (listen.host, peer_port)
                )
            except errors.UserError:
                self._peer_listener.stop()
                if listen.peer_port:
                    raise
                continue
            return Ports(caller_port, peer_port)
        raise errors.UserError(
            f"no port of {listen.host} is free for both TCP and UDP"
        )

    async def _listen_for_peers(self) -> int:
        listen = self._config.listen
        try:
            return await self._peer_listener.start(
                listen.host, listen.peer_port
            )
        except OSError as error:
            raise errors.UserError(
                f"cannot bind {listen.host}:{listen.peer_port}: "
                f"{error.strerror}"
            ) from error

    async def _update_retry_limits(self) -> None:
        """Updates the retry limits from the configuration, until cancelled."""
        shared = self.core.shared
        while True:
            current = shared.configuration_view.current
            if isinstance(current, native_configuration.NativeConfiguration):
                ratio = current.document.defaults.retry_ratio
                shared.budget.set_limits(
                    _make_retry_limits(ratio, shared.count_routers())
                )
            await asyncio.sleep(RETRY_LIMITS_UPDATE_S)

    def dump(self) -> str:
        """Returns the state of this process and its alarms as JSON."""
        return self._admin.dump()


def open_key_value(config: settings.Platform) -> external.KeyValue:
    """Returns the client for the configured key-value service."""
    return external.key_value_clients.get(config.key_value)(
        config.key_value_url
    )


def open_vm_list(config: settings.Platform) -> external.VmList:
    """Returns the client for the configured VM list."""
    return external.vm_list_clients.get(config.vm_list)(config.vm_list_url)


def _make_peer_listener(
    handler: admin.Admin, limits: settings.Limits
) -> listener.Listener:
    return listener.Listener(
        handler.handle,
        client_limits.compute_listener_limits(*_read_resources(limits)),
    )


def _read_resources(limits: settings.Limits) -> tuple[int, int]:
    """Returns the memory in bytes and the descriptors of this process.

    Both are 0 if they are not limited.
    """
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        descriptors = 0
    return limits.memory_mb * _BYTES_PER_MB, descriptors


def _make_retry_limits(ratio: float, router_count: int) -> retries.BudgetLimits:
    return retries.BudgetLimits(
        ratio, RETRY_SLACK * router_count, RETRY_WINDOW_S
    )
