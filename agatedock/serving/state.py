"""State that all request handlers of a router share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses

from agatedock import body_buffers
from agatedock import hashing
from agatedock.decisions import admission
from agatedock.decisions import draining
from agatedock.decisions import fleet_view
from agatedock.decisions import pauses
from agatedock.decisions import quarantine
from agatedock.decisions import retries
from agatedock.domain import configuration
from agatedock.domain import replicas
from agatedock.domain import requests
from agatedock.peers import reservations
from agatedock.serving import dialect
from agatedock.serving import early_closes
from agatedock.serving import replica_client
from agatedock.serving import silences
from agatedock.views import cold_replicas
from agatedock.views import configuration_view
from agatedock.views import crash_evidence
from agatedock.views import crossings
from agatedock.views import directory
from agatedock.views import health
from agatedock.views import loads
from agatedock.views import occupancy
from agatedock.views import prefixes
from agatedock.views import replica_limits
from agatedock.views import replica_reports
from agatedock.views import routers

_HASH_RANGE = 2**64
# Responses and events that are held for clients at the same time.
RESPONSES_MAX_BYTES = 32 * 1024 * 1024


@dataclasses.dataclass
class Timeouts:
    """Timeouts that are the same in the whole fleet.

    Attributes:
      configuration_max_age_s: Largest configuration age (time since it was
        confirmed as newest) at which requests with a key are served.
      stream_idle_timeout_s: Time without a complete event after which a
        resumable stream is resumed with another attempt.
    """

    configuration_max_age_s: float
    stream_idle_timeout_s: float


@dataclasses.dataclass
class SharedState:
    """Views, budgets, statistics and connections of one router.

    Attributes:
      now: Returns the present time in seconds.
      zone: Failure domain of this router.
      timeouts: Timeouts that are the same in the whole fleet.
      dialect: Header names and body formats of the API.
      replica_client: HTTP client for replicas.
      budget: This router's part of the fleet's retry budget.
      considers_domains: Whether requests stay in this failure domain if that
        costs their callers nothing.
      configuration_view: The applied configuration and its age.
      directory: Known replicas.
      loads: Running requests by replica.
      pauses: Replicas that asked for a pause.
      cold_replicas: Replicas that take few requests as they are cold.
      replica_limits: Rate limits of replicas; set after creation.
      replica_reports: What replicas say of their load.
      crash_evidence: Prompt parts that may have crashed replicas.
      probes: Requests that tried a quarantined part again.
      health: Results of recent requests by replica.
      prefixes: Replicas by the prompt parts in their cache.
      occupancy: This router's running requests by service, rank and account.
      durations: Mean time for which a request occupies a slot, by service.
      configured: Set once the first configuration is applied.
      routers: Live routers.
      drain: The shutdown of this router.
      response_buffers: Responses and events that are held for clients.
      early_closes: Connections closed before a response was complete.
      reservations: Reservations with the owners of replicas' counts; set by
        the Router, which creates them.
      crossing: The share of requests that leaves this failure domain.
      silences: Watches replicas that send nothing.
      view: What placement decides from; made of the fields above.
    """

    now: Callable[[], float]
    zone: str
    timeouts: Timeouts
    dialect: dialect.Dialect
    replica_client: replica_client.ReplicaClient
    budget: retries.Budget
    considers_domains: bool = False
    configuration_view: configuration_view.ConfigurationView = (
        dataclasses.field(default_factory=configuration_view.ConfigurationView)
    )
    directory: directory.Directory = dataclasses.field(
        default_factory=directory.Directory
    )
    loads: loads.Loads = dataclasses.field(default_factory=loads.Loads)
    pauses: pauses.Pauses = dataclasses.field(default_factory=pauses.Pauses)
    cold_replicas: cold_replicas.ColdReplicas = dataclasses.field(
        default_factory=cold_replicas.ColdReplicas
    )
    replica_reports: replica_reports.ReplicaReports = dataclasses.field(
        default_factory=replica_reports.ReplicaReports
    )
    crash_evidence: crash_evidence.CrashEvidence = dataclasses.field(
        default_factory=crash_evidence.CrashEvidence
    )
    probes: quarantine.Probes = dataclasses.field(
        default_factory=quarantine.Probes
    )
    health: health.ReplicaHealth = dataclasses.field(
        default_factory=health.ReplicaHealth
    )
    prefixes: prefixes.PrefixIndex = dataclasses.field(
        default_factory=prefixes.PrefixIndex
    )
    occupancy: occupancy.Occupancy = dataclasses.field(
        default_factory=occupancy.Occupancy
    )
    durations: admission.Durations = dataclasses.field(
        default_factory=admission.Durations
    )
    configured: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    routers: routers.Routers = dataclasses.field(
        default_factory=routers.Routers
    )
    drain: draining.Drain = dataclasses.field(
        default_factory=lambda: draining.Drain(draining.NO_TIMES)
    )
    response_buffers: body_buffers.BodyBuffers = dataclasses.field(
        default_factory=lambda: body_buffers.BodyBuffers(RESPONSES_MAX_BYTES)
    )
    early_closes: early_closes.EarlyCloses = dataclasses.field(
        default_factory=early_closes.EarlyCloses
    )
    reservations: reservations.ReservationService = dataclasses.field(
        init=False
    )

    def __post_init__(self) -> None:
        self.replica_limits = replica_limits.ReplicaLimits(
            self.directory.get_by_hash, self.cold_replicas
        )
        self.silences = silences.Silences(self.health, self.now)
        self.crossing = crossings.Crossings(
            self.zone if self.considers_domains else "",
            self.routers,
            self.directory.list_usable,
            self.occupancy.count_service,
            self.now,
        )
        self.view = fleet_view.FleetView(
            loads=self.loads,
            health=self.health,
            prefixes=self.prefixes,
            find_replica=self.directory.get_by_hash,
            count_running=self.count_running,
            count_peers=self.routers.count,
            zone=self.zone,
            is_paused=self.pauses.is_paused,
            limits=self.replica_limits,
            is_evacuated=self.directory.evacuations.includes,
            get_slowness=self.get_slowness,
            get_leaving_share=self.crossing.get_share,
        )

    def list_available(
        self, service: str, now: float
    ) -> list[replicas.Replica]:
        """Returns the replicas of a service that may get requests now."""
        usable = self.directory.list_usable(service)
        available = self.pauses.list_available(usable, now)
        return self.replica_limits.list_open(available, now)

    def is_available(self, replica: replicas.Replica, now: float) -> bool:
        """Returns whether a replica may get requests now."""
        return self.directory.is_usable(replica) and not self.pauses.is_paused(
            replica, now
        )

    def find_service(self, name: str) -> configuration.Service | None:
        """Returns a service of the applied configuration."""
        config = self.configuration_view.current
        return None if config is None else config.services.get(name)

    def count_routers(self) -> int:
        """Returns the number of routers that share the fleet's budgets."""
        return max(retries.ROUTER_COUNT_MIN, 1 + self.routers.count())

    def compute_slot_share(self, service: str, now: float) -> float:
        """Returns this router's share of the slots of a service.

        Routers share the slots in proportion to their running requests.
        """
        available = self.list_available(service, now)
        slots = sum(replica.slots for replica in available)
        own_running = self.occupancy.count_service(service)
        return slots * (own_running + 1) / (self.count_running(service) + 1)

    def count_running(self, service: str) -> int:
        """Returns the running requests of a service over all routers."""
        return self.occupancy.count_service(service) + self.routers.sum_running(
            service
        )

    def choose_service(
        self, route: configuration.Route, request: requests.Request
    ) -> str:
        """Returns one of a route's services, chosen by weight.

        The choice hashes the affinity key, so that requests which share a
        prompt part get the same service.
        """
        if len(route.backends) == 1:
            return route.backends[0].service
        total = sum(backend.weight for backend in route.backends)
        key = request.affinity_key or request.request_id
        point = total * hashing.score(key, route.name) / _HASH_RANGE
        for backend in route.backends:
            point -= backend.weight
            if point < 0:
                return backend.service
        return route.backends[-1].service

    def record_cached_parts(
        self,
        request: requests.Request,
        replica: replicas.Replica,
        now: float,
    ) -> None:
        """Records that a replica caches the shared parts of a prompt."""
        replica_hash = hashing.hash_name(replica.replica_id)
        for part in request.shared_parts:
            part_hash = hashing.hash_name(part.part_id)
            self.prefixes.add_holder(part_hash, replica_hash, now)

    def get_slowness(self, replica_id: str) -> float:
        """Returns how many times as long as usual work takes at a replica."""
        return self.replica_reports.get_slowness(replica_id, self.now())

    def record_refused(self, replica: replicas.Replica, now: float) -> None:
        """Records that a replica accepted no connection.

        It may have ended, and is cold then when it starts again. The listing
        may show that late.
        """
        service = self.find_service(replica.service)
        if service is not None and service.cold_rate is not None:
            until = now + health.SUSPEND_MAX_S + service.cold_s
            self.cold_replicas.record(replica, service.cold_rate, until)

    def remove_replica(self, replica_id: str) -> None:
        """Removes the state of a replica that has ended or restarted."""
        self.health.forget(replica_id)
        self.replica_reports.forget(replica_id)
        replica_hash = hashing.hash_name(replica_id)
        self.prefixes.forget(replica_hash)
        self.reservations.table.forget(replica_hash)
