"""Answers of the router itself: why a request was not served, when to retry."""

from __future__ import annotations

import enum


class Reason(enum.StrEnum):
    """Why a request got no answer of a replica."""

    NO_CONFIGURATION = "no_configuration"
    STALE_CONFIGURATION = "stale_configuration"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TIMEOUT = "body_timeout"
    NO_REPLICA = "no_replica"
    OVERLOADED = "overloaded"
    REPLICAS_FULL = "replicas_full"
    STOPPING = "stopping"
    OUTCOME_UNKNOWN = "outcome_unknown"
    TIMEOUT = "timeout"
    INTERNAL = "internal"


_STATUS = {
    Reason.NO_CONFIGURATION: 503,
    Reason.STALE_CONFIGURATION: 503,
    Reason.NO_ROUTE: 404,
    Reason.UNKNOWN_KEY: 401,
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.BODY_TIMEOUT: 408,
    Reason.NO_REPLICA: 503,
    Reason.OVERLOADED: 503,
    Reason.REPLICAS_FULL: 503,
    Reason.STOPPING: 503,
}
# Answers after a send whose effect is unknown; clients must not take them for
# "not run".
_STATUS_UNKNOWN = {Reason.TIMEOUT: 504}
_STATUS_UNKNOWN_DEFAULT = 502


class Declined(Exception):  # noqa: N818
    """Final answer of the router's own to one request.

    Attributes:
      reason: Why.
      not_run: True only if no replica has run the request or ever will.
      retry_after_s: When to ask again; None if that would not help.
    """

    def __init__(
        self,
        reason: Reason,
        *,
        not_run: bool = True,
        retry_after_s: float | None = None,
    ):
        self.reason = reason
        self.not_run = not_run
        self.retry_after_s = retry_after_s
        super().__init__(str(reason))

    @property
    def status(self) -> int:
        """Returns the HTTP status, which says truly whether it has run."""
        if not self.not_run:
            return _STATUS_UNKNOWN.get(self.reason, _STATUS_UNKNOWN_DEFAULT)
        return _STATUS.get(self.reason, 503)
