"""Heeds what replicas say of themselves in the heads of their responses."""

from __future__ import annotations

import logging

import aiohttp

from agatedock import clock
from agatedock import logs
from agatedock.decisions import cold_times
from agatedock.decisions import load_reports
from agatedock.decisions import pauses
from agatedock.decisions import rate_limits
from agatedock.domain import replicas
from agatedock.domain import requests
from agatedock.serving import dialect
from agatedock.serving import state

# Characters of a header value that are logged.
LOGGED_VALUE_CHARS_MAX = 40

_log = logging.getLogger(__name__)


def heed_notice(
    shared: state.SharedState,
    request: requests.Request,
    replica: replicas.Replica,
    response: aiohttp.ClientResponse,
) -> dialect.Notice:
    """Stops using a replica for as long as its response asks for.

    Args:
      shared: Contains the views that are updated.
      request: The client's request.
      replica: The replica that the request was sent to.
      response: The response, with its body not read yet.

    Returns:
      What the response says.
    """
    notice = shared.dialect.parse_notice(
        request, response.status, response.headers
    )
    if notice.cold_ms is not None:
        _heed_cold_time(shared, replica, notice.cold_ms)
    if notice.load is not None:
        _heed_load(shared, replica, notice.load)
    if not notice.draining and notice.retry_after is None:
        return notice
    logs.event(
        _log,
        "replica_notice",
        replica=replica.replica_id,
        id=request.request_id,
        status=response.status,
        draining=notice.draining,
        retry_after=(notice.retry_after or "")[:LOGGED_VALUE_CHARS_MAX],
    )
    now = shared.now()
    wall_ms = clock.read_wall_ms()
    if notice.draining and shared.directory.mark_draining(
        replica, now, wall_ms
    ):
        logs.event(
            _log,
            "replica_draining",
            replica=replica.replica_id,
            id=request.request_id,
        )
    if notice.retry_after is not None:
        pause_s = _read_pause_s(notice.retry_after, request, replica)
        shared.pauses.record(replica, pause_s, now, wall_ms)
    return notice


def _heed_load(
    shared: state.SharedState, replica: replicas.Replica, value: str
) -> None:
    """Records what a replica says of its load."""
    report = load_reports.parse_report(value)
    if report is None:
        logs.event(
            _log,
            "load_unreadable",
            logging.WARNING,
            replica=replica.replica_id,
            value=value[:LOGGED_VALUE_CHARS_MAX],
        )
        return
    shared.replica_reports.record(replica.replica_id, report, shared.now())


def _heed_cold_time(
    shared: state.SharedState, replica: replicas.Replica, value: str
) -> None:
    """Records that a replica is cold, for the time that it says."""
    service = shared.find_service(replica.service)
    if service is None or service.cold_rate is None:
        return
    cold_s = cold_times.parse_cold_s(value)
    if cold_s is None:
        logs.event(
            _log,
            "cold_time_unreadable",
            logging.WARNING,
            replica=replica.replica_id,
            value=value[:LOGGED_VALUE_CHARS_MAX],
        )
        return
    if cold_s:
        shared.cold_replicas.record(
            replica, service.cold_rate, shared.now() + cold_s
        )


def heed_rate_limit(
    shared: state.SharedState,
    request: requests.Request,
    replica: replicas.Replica,
    notice: dialect.Notice,
    sent_at: float,
) -> None:
    """Applies the rate limit that a response names, or its absence.

    Args:
      shared: Contains the views that are updated.
      request: The client's request.
      replica: The replica that the request was sent to.
      notice: What the response says.
      sent_at: When the request was sent, in seconds.
    """
    rate = None
    if notice.rate_limit:
        rate = rate_limits.parse_rate(notice.rate_limit)
        if rate is None:
            # It is neither a limit nor the end of one.
            logs.event(
                _log,
                "rate_limit_unreadable",
                logging.WARNING,
                replica=replica.replica_id,
                id=request.request_id,
                value=",".join(notice.rate_limit)[:LOGGED_VALUE_CHARS_MAX],
            )
            return
    now = shared.now()
    if shared.replica_limits.record_answer(
        replica, rate, sent_at, now, clock.read_wall_ms()
    ):
        logs.event(
            _log,
            "replica_rate_limit",
            replica=replica.replica_id,
            id=request.request_id,
            rate="none" if rate is None else rate,
        )
        shared.reservations.report_rate_limit(replica.replica_id)


def _read_pause_s(
    value: str, request: requests.Request, replica: replicas.Replica
) -> float:
    """Returns a pause in seconds; logs a value that cannot be read."""
    pause_s = pauses.parse_pause_s(value)
    if pause_s is not None:
        return pause_s
    logs.event(
        _log,
        "retry_after_unreadable",
        logging.WARNING,
        replica=replica.replica_id,
        id=request.request_id,
        value=value[:LOGGED_VALUE_CHARS_MAX],
        pause_s=pauses.PAUSE_DEFAULT_S,
    )
    return pauses.PAUSE_DEFAULT_S
