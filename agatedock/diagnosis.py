"""Explains the outcome of one request from log lines."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import datetime
import pathlib
import re

from agatedock import errors

# Events of the same router within this time of a request are related to it.
RELATED_WINDOW_S = 3.0
# Events that change a router's local view, and so may explain a decision.
STATE_CHANGE_EVENTS = frozenset(
    {
        "config_alarm",
        "configuration_applied",
        "key_value_lost",
        "key_value_regained",
        "vm_list_lost",
        "vm_list_regained",
        "configuration_unreadable",
        "internal_error",
        "peer_lost",
        "reader_lost",
        "registration_lost",
        "reloaded",
        "attempt_broken",
        "part_probed",
        "replica_draining",
        "replica_draining_heard",
        "replica_gone",
        "replica_notice",
        "replica_seen",
        "replicas_seen",
        "started",
        "stopping",
        "stopped",
        "store_lost",
        "store_regained",
        "lines_lost",
        "owner_silent",
    }
)
_FIELD_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One parsed line of a log.

    Attributes:
      at: Time of the event, by the wall clock of the router's VM.
      router: Name of the process that wrote the line.
      event: Name of the event.
      fields: All keys and values of the line, including those above.
    """

    at: datetime.datetime
    router: str
    event: str
    fields: dict[str, str]


def parse_line(text: str) -> LogLine | None:
    """Parses a line; returns None if it is not in the format of `logs`."""
    fields = {
        key: value[1:-1] if value.startswith('"') else value
        for key, value in _FIELD_PATTERN.findall(text)
    }
    try:
        at = datetime.datetime.fromisoformat(fields["at"])
        return LogLine(at, fields["router"], fields["event"], fields)
    except (KeyError, ValueError):
        return None


def read_lines(paths: Iterable[pathlib.Path]) -> list[LogLine]:
    """Returns the parsed lines of all files, sorted by time.

    Lines in other formats are skipped.

    Raises:
      errors.UserError: A file cannot be read.
    """
    lines = []
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                parsed = [parse_line(text) for text in file]
        except OSError as error:
            raise errors.UserError(f"{path}: {error.strerror}") from None
        lines += [line for line in parsed if line is not None]
    return sorted(lines, key=lambda line: line.at)


def find_request_lines(lines: list[LogLine], request_id: str) -> list[LogLine]:
    """Returns the access log lines of a request, one of each router."""
    return [
        line
        for line in lines
        if line.event == "request" and line.fields.get("id") == request_id
    ]


def find_related_lines(lines: list[LogLine], request_id: str) -> list[LogLine]:
    """Returns all lines with a request's id and the related state changes.

    Related are the changes of the same router's local view shortly before,
    during or shortly after the request. A change of a replica counts only if
    the request involved that replica.
    """
    request_lines = find_request_lines(lines, request_id)
    window = datetime.timedelta(seconds=RELATED_WINDOW_S)
    related_lines = []
    for line in lines:
        if line.fields.get("id") == request_id or any(
            _is_related(line, request_line, window)
            for request_line in request_lines
        ):
            related_lines.append(line)
    return related_lines


def _is_related(
    line: LogLine, request_line: LogLine, window: datetime.timedelta
) -> bool:
    if (
        line.event not in STATE_CHANGE_EVENTS
        or line.router != request_line.router
    ):
        return False
    took_ms = float(request_line.fields.get("took_ms") or 0)
    started_at = request_line.at - datetime.timedelta(milliseconds=took_ms)
    if not started_at - window <= line.at <= request_line.at + window:
        return False
    replica = line.fields.get("replica")
    involved_replicas = request_line.fields.get(
        "replica", ""
    ) + request_line.fields.get("failures", "")
    return replica is None or replica in involved_replicas


def explain_outcome(line: LogLine) -> str:
    """Returns one sentence that explains the outcome of a request's line."""
    fields = line.fields
    outcome = fields.get("outcome", "").partition(":")[0]
    return _OUTCOME_TEMPLATES.get(outcome, _UNKNOWN_OUTCOME).format_map(
        {key: fields.get(key, "?") for key in _TEMPLATE_FIELDS}
    )


_TEMPLATE_FIELDS = (
    "replica",
    "failures",
    "proof_age_ms",
    "revision",
    "took_ms",
    "details",
)
_UNKNOWN_OUTCOME = "No cause is known for this outcome."
_OUTCOME_TEMPLATES = {
    "answered": "Answered by {replica} in {took_ms} ms.",
    "replayed": (
        "Answered with the stored response to an earlier request with the "
        "same idempotency key."
    ),
    "client_left": (
        "The client disconnected after {took_ms} ms; the request to {replica} "
        "was cancelled."
    ),
    "stale_configuration": (
        "The route or API key could not be checked: the configuration "
        "(revision {revision}) was last confirmed as newest {proof_age_ms} ms "
        "before; look for the events store_lost and reader_lost."
    ),
    "no_configuration": (
        "The router had just started and had no configuration; look for the "
        "event store_lost."
    ),
    "unknown_account": "The account is not in the applied configuration.",
    "claims_unavailable": (
        "The key-value service could not store the idempotency record; the "
        "request was not sent to a replica."
    ),
    "in_progress": (
        "An earlier request with the same idempotency key was still running."
    ),
    "key_reused": "The idempotency key was used for a different request.",
    "unknown_key": "No account has the API key in revision {revision}.",
    "no_route": "No route matches the request in revision {revision}.",
    "no_upstream": "No replica was left to try after {failures}.",
    "replicas_full": "Every replica tried rejected the request: {failures}.",
    "quarantined": (
        "Replicas crash on a part of the prompt: {details}. Look for the "
        "event attempt_broken with this part."
    ),
    "replicas_paused": (
        "All replicas had asked for a pause; look for the event "
        "replica_notice: {details}."
    ),
    "rate_limited": (
        "All replicas that were left had named a rate limit and their owners "
        "granted none; look for the event replica_rate_limit: {details}."
    ),
    "overloaded": (
        "The request would have waited too long for its target latency or "
        "timeout."
    ),
    "over_share": (
        "The service was at capacity, and the rank or account exceeded its "
        "fair share."
    ),
    "replica_failed": "The replica responded with an error: {failures}.",
    "outcome_unknown": (
        "The request may have run: no usable response was received "
        "({failures}), and it could not be retried."
    ),
    "broken_off": (
        "The stream was interrupted and could not be resumed: {failures}."
    ),
    "timeout": "The route's timeout passed after {took_ms} ms at {replica}.",
    "stopping": "The router was shutting down after SIGTERM.",
}
