"""Errors that the router itself sends to clients, and when to retry."""

from __future__ import annotations

import enum


class ErrorCode(enum.StrEnum):
    """Why the router did not serve a request."""

    NO_CONFIGURATION = "no_configuration"
    STALE_CONFIGURATION = "stale_configuration"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    UNKNOWN_ACCOUNT = "unknown_account"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    BUFFERS_FULL = "buffers_full"
    HEADERS_TOO_LARGE = "headers_too_large"
    READ_TIMEOUT = "read_timeout"
    DUPLICATE_REQUEST = "duplicate_request"
    NO_UPSTREAM = "no_upstream"
    OVERLOADED = "overloaded"
    OVER_SHARE = "over_share"
    REPLICAS_FULL = "replicas_full"
    REPLICAS_PAUSED = "replicas_paused"
    RATE_LIMITED = "rate_limited"
    QUARANTINED = "quarantined"
    STOPPING = "stopping"
    CLAIMS_UNAVAILABLE = "claims_unavailable"
    KEY_REUSED = "key_reused"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERRUPTED = "interrupted"
    TIMEOUT = "timeout"
    INTERNAL = "internal"


_STATUS_NOT_RUN = {
    ErrorCode.NO_CONFIGURATION: 503,
    ErrorCode.STALE_CONFIGURATION: 503,
    ErrorCode.NO_ROUTE: 404,
    ErrorCode.UNKNOWN_KEY: 401,
    ErrorCode.UNKNOWN_ACCOUNT: 403,
    ErrorCode.UNKNOWN_MODEL: 404,
    ErrorCode.UNKNOWN_SERVICE: 404,
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.TOO_LARGE: 413,
    ErrorCode.HEADERS_TOO_LARGE: 431,
    ErrorCode.READ_TIMEOUT: 408,
    ErrorCode.DUPLICATE_REQUEST: 409,
    ErrorCode.KEY_REUSED: 422,
    ErrorCode.IN_PROGRESS: 409,
}
# Status of other errors if the request has not run and never will.
_STATUS_NOT_RUN_DEFAULT = 503
# Statuses after an attempt with unknown effect. Clients must not mistake them
# for "not run".
_STATUS_MAY_HAVE_RUN = {
    ErrorCode.TIMEOUT: 504,
    ErrorCode.IN_PROGRESS: 409,
    ErrorCode.INTERNAL: 500,
}
_STATUS_MAY_HAVE_RUN_DEFAULT = 502


class RequestError(Exception):  # noqa: N818
    """Ends a request with an error response of the router.

    Attributes:
      code: Why the request was not served.
      details: Explanation for people; may be empty.
      not_run: True only if no replica has run the request or ever will.
      retry_after_s: When the client may retry; None if a retry would not help.
    """

    def __init__(
        self,
        code: ErrorCode,
        details: str = "",
        *,
        not_run: bool = True,
        retry_after_s: float | None = None,
    ):
        self.code = code
        self.details = details
        self.not_run = not_run
        self.retry_after_s = retry_after_s
        super().__init__(f"{code}: {details}" if details else str(code))

    @property
    def status(self) -> int:
        """Returns the HTTP status, which depends on whether it may have run."""
        if not self.not_run:
            return _STATUS_MAY_HAVE_RUN.get(
                self.code, _STATUS_MAY_HAVE_RUN_DEFAULT
            )
        return _STATUS_NOT_RUN.get(self.code, _STATUS_NOT_RUN_DEFAULT)
