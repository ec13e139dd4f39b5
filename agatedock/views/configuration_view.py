"""The configuration in effect, and when it was last confirmed as newest."""

from __future__ import annotations

from agatedock.domain import configuration

_NEVER = float("-inf")


class ConfigurationView:
    """The newest configuration that this router has seen.

    Configurations are ordered by their versions, which the operator numbers.
    The store's revisions are not an order: a store that is restored from a copy
    gives them out again.

    Attributes:
      current: The configuration; None until the first one was read.
      revision: The store's revision of `current`, for people.
      confirmed_at: Latest time at which `current` is known to have been newest:
        when the read of the store that confirmed it was sent, in seconds.
    """

    def __init__(self) -> None:
        self.current: configuration.Configuration | None = None
        self.revision = 0
        self.confirmed_at = _NEVER

    @property
    def version(self) -> int:
        """Returns the version of the configuration; 0 without one."""
        return 0 if self.current is None else self.current.version

    def update(
        self,
        document: configuration.Configuration,
        revision: int,
        read_at: float,
    ) -> bool:
        """Applies a configuration that was newest at `read_at`.

        One with a lower version than the current one is ignored.

        Returns:
          Whether the configuration was applied.
        """
        if document.version < self.version:
            return False
        self.current = document
        self.revision = revision
        self.confirm(read_at)
        return True

    def confirm(self, read_at: float) -> None:
        """Records that the current configuration was newest at `read_at`."""
        self.confirmed_at = max(self.confirmed_at, read_at)

    def age_s(self, now: float) -> float:
        """Returns the seconds since the configuration was last confirmed."""
        return now - self.confirmed_at
