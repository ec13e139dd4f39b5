"""Gauges of a router, set before a metrics scrape."""

from __future__ import annotations

from collections.abc import Mapping

from agatedock import logs
from agatedock import metrics
from agatedock.serving import frontend
from agatedock.serving import state


def set_shared_gauges(
    shared: state.SharedState, meters: metrics.Metrics
) -> None:
    """Sets the gauges of what all request handlers share."""
    now = shared.now()
    view = shared.configuration_view
    gauges = {
        "agatedock_configuration_revision": view.revision,
        "agatedock_configuration_age_seconds": view.age_s(now),
        "agatedock_configuration_version": view.version,
        "agatedock_peer_rows_age_seconds": shared.routers.mean_age_s(now),
        "agatedock_peers": shared.routers.count(),
        "agatedock_suspect_parts": len(shared.crash_evidence.list_parts()),
        "agatedock_questions_unanswered": shared.reservations.owner_timeouts,
        "agatedock_response_buffers_bytes": shared.response_buffers.held_bytes,
        "agatedock_log_lines_lost": logs.count_lost_lines(),
    }
    _set_all(meters, gauges)
    for reason, count in shared.early_closes.counts.items():
        meters.set_gauge("agatedock_responses_cut", count, {"reason": reason})
    for service, share in shared.crossing.list_shares().items():
        meters.set_gauge("agatedock_leaving_share", share, {"service": service})


def set_replica_gauges(
    shared: state.SharedState, meters: metrics.Metrics
) -> None:
    """Sets the gauges of the replicas, and of why some are not used."""
    now = shared.now()
    directory = shared.directory
    limits = shared.replica_limits
    gauges = {
        "agatedock_replicas": directory.count(),
        "agatedock_replicas_told_draining": directory.count_told_draining(),
        "agatedock_domains_evacuated": len(
            directory.evacuations.list_domains()
        ),
        "agatedock_replicas_paused": shared.pauses.count(now),
        "agatedock_replicas_found_silent": shared.silences.count,
        "agatedock_replicas_cold": shared.cold_replicas.count(now),
        "agatedock_replicas_rate_limited": limits.count(),
        "agatedock_rate_limit_denials": limits.denied_count,
    }
    _set_all(meters, gauges)
    for replica_id, slowness in shared.replica_reports.list_slowness(
        now
    ).items():
        meters.set_gauge(
            "agatedock_replica_slowness", slowness, {"replica": replica_id}
        )


def set_client_gauges(
    server: frontend.Frontend, meters: metrics.Metrics
) -> None:
    """Sets the gauges of the connections of clients."""
    gauges = {
        "agatedock_request_bodies_bytes": server.bodies.held_bytes,
        "agatedock_requests_bytes": server.clients.requests_bytes,
        "agatedock_client_connections": server.count_connections(),
    }
    _set_all(meters, gauges)
    for reason, count in server.clients.counts.items():
        meters.set_gauge("agatedock_clients_cut", count, {"reason": reason})


def _set_all(meters: metrics.Metrics, gauges: Mapping[str, float]) -> None:
    for name, value in gauges.items():
        meters.set_gauge(name, value)
