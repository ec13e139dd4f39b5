"""Typed errors: findings for operators, failures of what is around."""

from __future__ import annotations

import dataclasses


class UserError(Exception):
    """Error whose text is shown to the operator as one line."""


@dataclasses.dataclass(frozen=True)
class Finding:
    """One fault found in a document.

    Attributes:
      location: Where it stands, as `file:line key.path`.
      message: What is wrong and, where known, what would be right.
    """

    location: str
    message: str

    def __str__(self) -> str:
        return f"{self.location}: {self.message}"


class FindingsError(UserError):
    """Error that reports every finding of one check together."""

    def __init__(self, findings: list[Finding]):
        self.findings = findings
        super().__init__("\n".join(str(finding) for finding in findings))


class Unavailable(Exception):  # noqa: N818
    """A platform service or a peer gave no answer; the effect is unknown."""


class DecodeError(Exception):
    """Data of others that cannot be used, with the reason."""


class Conflict(Exception):  # noqa: N818
    """A compare-and-swap found another version than the expected one."""
