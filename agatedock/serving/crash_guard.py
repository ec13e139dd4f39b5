"""Keeps one request from crashing replicas, and records those that crash."""

from __future__ import annotations

import logging

from agatedock import hashing
from agatedock import logs
from agatedock.decisions import quarantine
from agatedock.domain import replicas
from agatedock.domain import requests
from agatedock.serving import access_log
from agatedock.serving import request_errors
from agatedock.serving import state
from agatedock.views import crash_reports

# Owners are chosen by 32-bit hashes.
_OWNER_HASH_MASK = 2**32 - 1
# An answer that has begun has lasted at least this long.
LASTED_MIN_S = 0.001

_log = logging.getLogger(__name__)


class CrashGuard:
    """Evidence about the parts of one request's prompt."""

    def __init__(
        self,
        shared: state.SharedState,
        request: requests.Request,
        log_entry: access_log.AccessLogEntry,
    ) -> None:
        self._shared = shared
        self._request = request
        self._log_entry = log_entry
        self._part_hashes = crash_reports.hash_parts(request)
        self._replica: replicas.Replica
        self._run_hash = 0
        self._connected_at = 0.0
        # Whether a replica crashed at an earlier attempt before it answered. A
        # stream that has begun may have been cut off, as by a link.
        self._crashed = False
        # When the answer of the present attempt began; None if it has not.
        self._begun_at: float | None = None
        self._is_resumed = False

    def select_safe(
        self, available: list[replicas.Replica], now: float
    ) -> list[replicas.Replica]:
        """Returns the replicas that the request is not expected to crash.

        Args:
          available: The replicas that may get requests.
          now: Present time in seconds.

        Raises:
          request_errors.RequestError: A part of the prompt is quarantined at
            all of them.
        """
        if not self._part_hashes or not available:
            return available
        causes = {
            version: cause
            for version in {replica.version for replica in available}
            if (cause := self._find_cause(version, now)) is not None
        }
        if not causes:
            return available
        safe = [item for item in available if item.version not in causes]
        if safe:
            return safe
        raise self._make_error(next(iter(causes.values())), now)

    def _find_cause(self, version: str, now: float) -> quarantine.Cause | None:
        shared = self._shared
        cause = quarantine.find_cause(
            self._part_hashes,
            hashing.hash_name(version),
            shared.crash_evidence,
            is_retry=self._crashed,
        )
        if cause is None or self._crashed:
            return cause
        if shared.reservations.owns(
            cause.part_hash & _OWNER_HASH_MASK
        ) and shared.probes.is_due(cause, now):
            shared.probes.record(cause.part_hash, now)
            logs.event(
                _log,
                "part_probed",
                id=self._request.request_id,
                part=self._get_part_id(cause.part_hash),
            )
            return None
        return cause

    def _make_error(
        self, cause: quarantine.Cause, now: float
    ) -> request_errors.RequestError:
        self._shared.crash_evidence.record_use(cause.part_hash, now)
        part_id = self._get_part_id(cause.part_hash)
        self._log_entry.quarantined_part = part_id
        return request_errors.RequestError(
            request_errors.ErrorCode.QUARANTINED,
            f"{cause.crashes} replicas crashed on prompt part {part_id}, the "
            f"last {now - cause.crashed_at:.1f} s ago",
            retry_after_s=cause.compute_retry_after_s(now),
        )

    def _get_part_id(self, part_hash: int) -> str:
        at = self._part_hashes.index(part_hash)
        part_id = self._request.prompt[at].part_id
        return part_id[: access_log.LOGGED_PART_CHARS_MAX]

    def begin_attempt(
        self, replica: replicas.Replica, *, is_resumed: bool
    ) -> None:
        """Records that an attempt is sent to a replica.

        Args:
          replica: The replica.
          is_resumed: Whether it is to write only the rest of an answer, which
            shows nothing of what comes before.
        """
        self._replica = replica
        self._is_resumed = is_resumed
        self._run_hash = crash_reports.hash_run(replica)
        self._begun_at = None

    def record_head(self, connected_at: float, now: float) -> None:
        """Records that the replica has sent a response head.

        Args:
          connected_at: When its connection was opened, in seconds.
          now: Present time in seconds.
        """
        self._connected_at = connected_at
        self._record_activity(now)

    def _record_activity(self, now: float) -> None:
        self._shared.crash_evidence.record_activity(
            self._run_hash, self._connected_at, now
        )

    def record_data(self, now: float) -> None:
        """Records that a part of the answer has arrived."""
        self._record_activity(now)
        version = self._replica.version
        if self._begun_at is None:
            self._begun_at = now
            self._shared.crash_evidence.record_begin(
                self._part_hashes, version, now
            )
        elif not self._is_resumed:
            self._shared.crash_evidence.record_progress(
                self._part_hashes, version, now - self._begun_at, now
            )

    def record_whole(self, now: float) -> None:
        """Records that the answer has ended whole."""
        if self._is_resumed:
            return
        self._shared.crash_evidence.record_whole(
            self._part_hashes, self._replica.version, now
        )

    def record_lost_connection(self, attempt: int, now: float) -> None:
        """Records that the attempt ended with its connection.

        Args:
          attempt: Number of the attempt, from 1.
          now: Present time in seconds.
        """
        logs.event(
            _log,
            "attempt_broken",
            logging.WARNING,
            id=self._request.request_id,
            replica=self._replica.replica_id,
            started_at_ms=self._replica.started_at_ms,
            attempt=attempt,
            begun=self._begun_at is not None,
            parts=self._log_entry.format_parts(),
        )
        lasted_s = 0.0
        if self._begun_at is None:
            self._crashed = True
        else:
            lasted_s = max(now - self._begun_at, LASTED_MIN_S)
        self._shared.crash_evidence.record_crash(
            self._part_hashes, self._replica, now, lasted_s
        )
