"""A configuration whose routes are found by host and path prefix."""

from __future__ import annotations

import dataclasses

from agatedock.domain import configuration
from agatedock.domain import requests


@dataclasses.dataclass(frozen=True)
class HostConfiguration(configuration.Configuration):
    """One version.

    Attributes:
      routes: By host, then by path prefix.
      accounts: By API key; None if no route asks for a key.
    """

    version: int
    routes: dict[str, dict[str, configuration.Route]]
    services: dict[str, configuration.Service]
    limits: configuration.Limits
    accounts: dict[str, configuration.Account] | None
    floors: tuple[float, ...] = ()

    def find_route(
        self, request: requests.Request
    ) -> configuration.Route | None:
        """Returns the route with the longest prefix that begins the path."""
        by_prefix = self.routes.get(request.host)
        if by_prefix is None:
            return None
        path = request.path
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def requires_account(self, route: configuration.Route) -> bool:
        """Tells whether requests on a route need the key of an account."""
        return self.accounts is not None and not route.public

    def find_account(self, account_key: str) -> configuration.Account | None:
        """Returns the account that holds a key."""
        return self.accounts.get(account_key) if self.accounts else None
