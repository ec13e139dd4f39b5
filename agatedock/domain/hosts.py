"""A configuration whose routes are found by host and path prefix."""

from __future__ import annotations

import dataclasses

from agatedock.domain import configuration
from agatedock.domain import requests


@dataclasses.dataclass(frozen=True)
class HostConfiguration(configuration.Configuration):
    """One version of a configuration with routes by host and path prefix.

    Attributes:
      version: Version number as operators see it.
      routes: Routes by host, then by path prefix.
      services: Services by name.
      limits: Limits on client requests.
      accounts: Accounts by API key; None if no route needs a key. If it is
        empty, no key is valid.
      floors: Guaranteed minimum share of each rank, rank 0 first.
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
        """Returns the route with the longest prefix that matches the path.

        Prefixes end with a slash. Returns None if no prefix matches.
        """
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
        """Returns whether requests on a route need the key of an account."""
        return self.accounts is not None and not route.public

    def find_account(self, account_key: str) -> configuration.Account | None:
        """Returns the account with an API key, None if the key is unknown."""
        if self.accounts is None:
            return None
        return self.accounts.get(account_key)

    def find_named_route(self, name: str) -> configuration.Route | None:
        """Returns a route by its name, None if there is none."""
        for by_prefix in self.routes.values():
            for route in by_prefix.values():
                if route.name == name:
                    return route
        return None

    def find_named_account(self, name: str) -> configuration.Account | None:
        """Returns an account by its name, None if there is none."""
        for account in (self.accounts or {}).values():
            if account.name == name:
                return account
        return None
