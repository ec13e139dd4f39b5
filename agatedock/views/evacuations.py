"""Failure domains that operators have evacuated."""

from __future__ import annotations

from collections.abc import Iterable

# How long a domain stays evacuated after the store was restored from a copy
# that does not say so; operators write again in this time.
RESTORE_GRACE_S = 2.0


class Evacuations:
    """Failure domains whose replicas get no new requests.

    Attributes:
      version: Grows with each change.
    """

    def __init__(self) -> None:
        self.version = 0
        self._listed: frozenset[str] = frozenset()
        # Domains that peers announced before the listing.
        self._announced: frozenset[str] = frozenset()
        # Domains that a restored listing lacks.
        self._missing: frozenset[str] = frozenset()
        self._grace_until = float("-inf")

    def apply_changes(
        self, listed: Iterable[str], removed: Iterable[str], now: float
    ) -> frozenset[str]:
        """Applies the difference between a listing and the one before it.

        Args:
          listed: Domains that are evacuated since.
          removed: Domains that were taken back.
          now: Present time in seconds.

        Returns:
          The domains that are in use again.
        """
        before = self.list_domains()
        listed = frozenset(listed)
        removed = frozenset(removed) - listed
        self._listed = (self._listed | listed) - removed
        self._missing = (self._missing | removed) - listed
        if now >= self._grace_until:
            self._missing = frozenset()
        self._record_change(before)
        return before - self.list_domains()

    def handle_restore(self, now: float) -> None:
        """Prepares for a listing of a store that was restored from a copy."""
        self._grace_until = now + RESTORE_GRACE_S

    def set_announced(self, domains: Iterable[str]) -> None:
        """Replaces the domains that peers announced as evacuated."""
        before = self.list_domains()
        self._announced = frozenset(domains)
        self._record_change(before)

    def _record_change(self, before: frozenset[str]) -> None:
        if before != self.list_domains():
            self.version += 1

    def list_domains(self) -> frozenset[str]:
        """Returns all evacuated domains."""
        return self._listed | self._announced | self._missing

    def includes(self, domain: str) -> bool:
        """Returns whether a domain is evacuated."""
        return (
            domain in self._listed
            or domain in self._announced
            or domain in self._missing
        )
