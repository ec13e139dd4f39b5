"""State dump of a router, for operators."""

from __future__ import annotations

import dataclasses
import math

from agatedock import logs
from agatedock.domain import replicas
from agatedock.serving import router as routers

# HTTP path of the dump.
PATH = "/dump"
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """The router process; `work` is the number of requests in flight."""

    name: str
    failure_domain: str
    stopping: bool
    work: int
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The applied configuration.

    `proof_age_ms` is the time since it was confirmed as newest.
    """

    revision: int
    version: int | None
    proof_age_ms: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A router in this router's local view.

    `news_age_ms` is the time since it was last seen; None if it was never seen.
    """

    name: str
    status: str
    address: str | None
    failure_domain: str | None
    revision: int | None
    news_age_ms: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """A replica in this router's local view."""

    name: str
    service: str
    failure_domain: str
    address: str
    state: str
    running: int
    failure_rate: float
    rate_limit: float | None
    slowness: float


@dataclasses.dataclass(frozen=True, slots=True)
class Control:
    """Datagram bytes sent to peers, and log lines that were lost."""

    peer_bytes_sent: int
    log_lines_lost: int


@dataclasses.dataclass(frozen=True, slots=True)
class Dump:
    """State dump of one router."""

    process: Process
    control: Control
    configuration: Configuration
    members: list[Member]
    upstreams: list[Upstream]


def collect_dump(router: routers.Router) -> Dump:
    """Returns the state of a router."""
    shared = router.shared
    view = shared.configuration_view
    config = view.current
    return Dump(
        process=Process(
            name=router.identity.name,
            failure_domain=router.identity.zone,
            stopping=router.is_stopping,
            work=router.count_running(),
            connections=router.frontend.count_connections(),
        ),
        control=Control(
            peer_bytes_sent=router.endpoint.bytes_sent,
            log_lines_lost=logs.count_lost_lines(),
        ),
        configuration=Configuration(
            revision=view.revision,
            version=config.version if config else None,
            proof_age_ms=_to_ms(view.age_s(shared.now())),
        ),
        members=_list_members(router),
        upstreams=[
            _describe_upstream(router, replica)
            for replica in shared.directory.list_all()
        ],
    )


def _list_members(router: routers.Router) -> list[Member]:
    """Returns this router, the live ones, and those that are only listed."""
    now = router.shared.now()
    own_member = Member(
        router.identity.name,
        "leaving" if router.is_stopping else "alive",
        None,
        router.identity.zone,
        router.shared.configuration_view.version,
        0,
    )
    live = [
        Member(
            peer.name,
            "alive",
            router.gossip.get_peer_address(peer.name),
            peer.zone,
            peer.version,
            round((now - peer.last_seen_at) * _MS_PER_S),
        )
        for peer in router.gossip.list_peers()
    ]
    names = {member.name for member in live}
    unresponsive = [
        Member(name, "silent", address, None, None, None)
        for name, address in router.follower.listed_routers.items()
        if name not in names
    ]
    return sorted(
        [own_member, *live, *unresponsive], key=lambda member: member.name
    )


def _describe_upstream(
    router: routers.Router, replica: replicas.Replica
) -> Upstream:
    shared = router.shared
    usable = shared.directory.list_usable(replica.service)
    state = "ready" if replica in usable else "draining"
    if shared.health.is_suspended(replica.replica_id, shared.now()):
        state = "suspended"
    if shared.pauses.is_paused(replica, shared.now()):
        state = "paused"
    failure_rate = shared.health.failure_rate(replica.replica_id, shared.now())
    return Upstream(
        name=replica.replica_id,
        service=replica.service,
        failure_domain=replica.zone,
        address=replica.address,
        state=state,
        running=shared.loads.count_total(replica.replica_id),
        failure_rate=round(failure_rate, 3),
        rate_limit=shared.replica_limits.get_rate(replica, shared.now()),
        slowness=round(shared.get_slowness(replica.replica_id), 2),
    )


def _to_ms(age_s: float) -> int | None:
    """Returns whole milliseconds; None for what never happened."""
    return round(age_s * _MS_PER_S) if math.isfinite(age_s) else None
