"""The configuration in effect, and when it was last confirmed as newest."""

from __future__ import annotations

from agatedock.domain import configuration

_NEVER = float("-inf")


class ConfigurationView:
    """The newest configuration that this router has seen.

    Attributes:
      current: The configuration; None until the first one was read.
      revision: The store's revision of `current`.
      confirmed_at: Latest time at which `current` is known to have been newest:
        when the read of the store that confirmed it was sent, in seconds.
    """

    def __init__(self) -> None:
        self.current: configuration.Configuration | None = None
        self.revision = 0
        self.confirmed_at = _NEVER

    def update(
        self,
        document: configuration.Configuration,
        revision: int,
        read_at: float,
    ) -> bool:
        """Applies a configuration that was newest at `read_at`.

        One with a lower revision than the current one is ignored.

        Returns:
          Whether the revision is higher than before.
        """
        if revision < self.revision:
            return False
        changed = revision > self.revision
        self.current = document
        self.revision = revision
        self.confirmed_at = max(self.confirmed_at, read_at)
        return changed

    def confirm(self, revision: int, read_at: float) -> bool:
        """Confirms that a revision was newest at `read_at`.

        Returns:
          Whether it is the revision in effect here; if not, nothing changes.
        """
        if revision != self.revision:
            return False
        self.confirmed_at = max(self.confirmed_at, read_at)
        return True

    def age_s(self, now: float) -> float:
        """Returns the seconds since the configuration was last confirmed."""
        return now - self.confirmed_at
