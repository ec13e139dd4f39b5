"""Answers of the router itself: why a request was not served, when to retry."""

from __future__ import annotations

import enum


class ErrorCode(enum.StrEnum):
    """Why a request got no answer of a replica."""

    NO_CONFIGURATION = "no_configuration"
    STALE_CONFIGURATION = "stale_configuration"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    UNKNOWN_ACCOUNT = "unknown_account"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    READ_TIMEOUT = "read_timeout"
    DUPLICATE_REQUEST = "duplicate_request"
    NO_UPSTREAM = "no_upstream"
    OVERLOADED = "overloaded"
    OVER_SHARE = "over_share"
    REPLICAS_FULL = "replicas_full"
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
# For requests that have not run and never will.
_STATUS_NOT_RUN_DEFAULT = 503
# Answers after a send whose effect is unknown; clients must not take them for
# "not run".
_STATUS_MAY_HAVE_RUN = {
    ErrorCode.TIMEOUT: 504,
    ErrorCode.IN_PROGRESS: 409,
    ErrorCode.INTERNAL: 500,
}
_STATUS_MAY_HAVE_RUN_DEFAULT = 502


class RequestError(Exception):  # noqa: N818
    """Final answer of the router's own to one request.

    Attributes:
      code: Why.
      details: What exactly is wrong, for people; may be empty.
      not_run: True only if no replica has run the request or ever will.
      retry_after_s: When to ask again; None if that would not help.
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
        """Returns the HTTP status, which says truly whether it has run."""
        if not self.not_run:
            return _STATUS_MAY_HAVE_RUN.get(
                self.code, _STATUS_MAY_HAVE_RUN_DEFAULT
            )
        return _STATUS_NOT_RUN.get(self.code, _STATUS_NOT_RUN_DEFAULT)
