"""Errors: findings for operators, and failures of external services."""

from __future__ import annotations

import dataclasses

import msgspec

# What decoders raise for data from outside: also RecursionError for values that
# are nested too deeply, and ValueError for numbers with too many digits.
MALFORMED_DATA_ERRORS = (
    msgspec.MsgspecError,
    RecursionError,
    ValueError,
    OverflowError,
)


class UserError(Exception):
    """Error whose text is shown to the operator without a traceback."""


@dataclasses.dataclass(frozen=True)
class Finding:
    """One problem found in a document.

    Attributes:
      location: Location as `file:line key.path`.
      message: The problem and, where known, the correction.
    """

    location: str
    message: str

    def __str__(self) -> str:
        return f"{self.location}: {self.message}"


class FindingsError(UserError):
    """Error with all findings of one check."""

    def __init__(self, findings: list[Finding]):
        self.findings = findings
        super().__init__("\n".join(str(finding) for finding in findings))


class Unavailable(Exception):  # noqa: N818
    """A platform service or peer did not reply; the effect is unknown."""


class DecodeError(Exception):
    """Received data cannot be decoded; the message has the reason."""


class Conflict(Exception):  # noqa: N818
    """A compare-and-swap found a version other than the expected one."""
