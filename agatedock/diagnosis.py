"""Finds what collected log files say of one request."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import datetime
import pathlib
import re

from agatedock import errors

# Events of the same replica or router this close to the request are shown.
RELATED_WINDOW_S = 3.0
# Events that change what a router believes, and so may explain a decision.
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
        "replica_gone",
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
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    Attributes:
      at: When it was written, by the wall clock of its VM.
      fields: All keys and values, the ones above included.
    """

    at: datetime.datetime
    router: str
    event: str
    fields: dict[str, str]


def parse_line(text: str) -> LogLine | None:
    """Returns a line of a log, None if it is not one of ours."""
    fields = {
        key: value[1:-1] if value.startswith('"') else value
        for key, value in _PAIR.findall(text)
    }
    try:
        at = datetime.datetime.fromisoformat(fields["at"])
        return LogLine(at, fields["router"], fields["event"], fields)
    except (KeyError, ValueError):
        return None


def read_lines(paths: Iterable[pathlib.Path]) -> list[LogLine]:
    """Returns the lines of some files in order of time.

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


def find_related_lines(lines: list[LogLine], request_id: str) -> list[LogLine]:
    """Returns a request's lines, and what its router learned around them."""
    request_lines = [
        line for line in lines if line.fields.get("id") == request_id
    ]
    window = datetime.timedelta(seconds=RELATED_WINDOW_S)
    found = []
    for line in lines:
        if line in request_lines or any(
            _is_related(line, request_line, window)
            for request_line in request_lines
        ):
            found.append(line)
    return found


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
    """Returns in one sentence why a request ended as its line says."""
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
)
_UNKNOWN_OUTCOME = "No cause is known for this outcome."
_OUTCOME_TEMPLATES = {
    "answered": "Answered by {replica} in {took_ms} ms.",
    "replayed": "Answered from the claim of an earlier request with its key.",
    "client_left": "The client left after {took_ms} ms; {replica} was told.",
    "stale_configuration": (
        "The key could not be checked: the configuration (revision "
        "{revision}) was last proved current {proof_age_ms} ms before; look "
        "for store_lost and reader_lost."
    ),
    "no_configuration": "The router had just started; look for store_lost.",
    "unknown_account": "The account is not in the configuration in force.",
    "claims_unavailable": (
        "The key-value service could not record its key; nothing was sent."
    ),
    "in_progress": "An earlier request with its key was still running.",
    "key_reused": "Its key belongs to another request.",
    "unknown_key": "No account has the key in revision {revision}.",
    "no_route": "No route fits in revision {revision}.",
    "no_upstream": "No replica was left after {failures}.",
    "replicas_full": "Every replica tried rejected it: {failures}.",
    "overloaded": "Its turn would have come too late for its target.",
    "over_share": (
        "The service was full, and its rank or account had more than its share."
    ),
    "replica_failed": "The replica answered with a failure: {failures}.",
    "outcome_unknown": (
        "It may have run: no usable answer came ({failures}), and it could "
        "not be sent again."
    ),
    "broken_off": "The stream broke and could not go on: {failures}.",
    "timeout": "The route's timeout passed after {took_ms} ms at {replica}.",
    "stopping": "The router was about to end after SIGTERM.",
}
