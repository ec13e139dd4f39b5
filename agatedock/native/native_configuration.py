"""Derives routes, services and accounts from the fleet configuration."""

from __future__ import annotations

from agatedock.domain import configuration
from agatedock.domain import requests
from agatedock.fleet import documents
from agatedock.fleet import resolution
from agatedock.native import settings

# Maximum number of replicas that one request is sent to, one after another.
REPLICAS_MAX = 3
# Target latency of the responses of plain services.
SERVICE_TARGET_LATENCY_S = 1.0

_MS_PER_S = 1000


class NativeConfiguration(configuration.Configuration):
    """One revision of the fleet configuration.

    Attributes:
      document: The configuration as operators wrote it.
      resolver: Looks up values: defaults with the overrides applied.
    """

    def __init__(
        self, document: documents.Document, limits: settings.Limits
    ) -> None:
        self.document = document
        self.resolver = resolution.Resolver(document)
        self.version = document.revision
        self.floors = tuple(rank.floor_share for rank in document.ranks)
        self.limits = configuration.Limits(
            header_bytes=limits.header_max_bytes,
            body_bytes=limits.body_max_bytes,
            header_timeout_s=limits.header_timeout_ms / _MS_PER_S,
            idle_timeout_s=limits.body_timeout_ms / _MS_PER_S,
        )
        self._limits = limits
        models = [self._make_model(item.name) for item in document.models]
        services = [self._make_service(item.name) for item in document.services]
        self.services = {item.name: item for item in models + services}

    def _make_model(self, name: str) -> configuration.Service:
        return configuration.Service(
            name,
            configuration.LoadBound(
                self.resolver.get("load_bound", model=name),
                self.resolver.get("load_bound_slack", model=name),
            ),
            self.resolver.get("placement", model=name),
        )

    def _make_service(self, name: str) -> configuration.Service:
        return configuration.Service(
            name,
            configuration.LoadBound(
                self.resolver.get("load_bound", service=name),
                self.resolver.get("load_bound_slack", service=name),
            ),
        )

    def get_slots(self, service: str) -> int:
        """Returns the number of requests that one replica runs at a time."""
        if self.document.find_model(service) is not None:
            return self.resolver.get("engine_slots", model=service)
        return self.resolver.get("service_slots", service=service)

    def find_route(
        self, request: requests.Request
    ) -> configuration.Route | None:
        """Returns the route by the service name; None for an unknown one."""
        if self.document.find_model(request.service) is not None:
            return self._make_chat_route(request)
        service = self.document.find_service(request.service)
        if service is None:
            return None
        is_safe = service.is_idempotent(request.method, request.path)
        kind = configuration.RouteKind
        return self._make_route(
            request,
            kind=kind.SAFE if is_safe else kind.UNSAFE,
            timeout_ms=self._limits.service_timeout_ms,
            target_latency_s=SERVICE_TARGET_LATENCY_S,
        )

    def _make_chat_route(
        self, request: requests.Request
    ) -> configuration.Route:
        rank = self.document.find_rank_index(request.work)
        return self._make_route(
            request,
            kind=configuration.RouteKind.STREAM,
            timeout_ms=self._limits.chat_timeout_ms,
            target_latency_s=self.document.ranks[rank].first_token_ms
            / _MS_PER_S,
        )

    def _make_route(
        self,
        request: requests.Request,
        kind: configuration.RouteKind,
        timeout_ms: int,
        target_latency_s: float,
    ) -> configuration.Route:
        return configuration.Route(
            name=request.service,
            kind=kind,
            backends=(configuration.Backend(request.service, 1.0),),
            timeout_s=timeout_ms / _MS_PER_S,
            target_latency_s=target_latency_s,
            rank=self.document.find_rank_index(request.work),
            replicas_max=REPLICAS_MAX,
            public=False,
            resumable=kind is configuration.RouteKind.STREAM,
        )

    def requires_account(self, route: configuration.Route) -> bool:
        """Returns True: every request of the native API names an account."""
        del route
        return True

    def find_account(self, account_key: str) -> configuration.Account | None:
        """Returns an account by name, None if it is not listed.

        If the configuration lists no accounts, every name is accepted, unless
        it says that its list is closed.
        """
        document = self.document
        is_closed = document.accounts_closed or bool(document.accounts)
        if is_closed and account_key not in document.accounts:
            return None
        weight = self.resolver.get("account_weight", account=account_key)
        return configuration.Account(account_key, weight=weight)

    def find_named_route(self, name: str) -> configuration.Route | None:
        """Returns the route to a model or service; None for an unknown one."""
        work = next(iter(self.document.works), "")
        return self.find_route(
            requests.Request(
                request_id="",
                method="POST",
                host="",
                target="/",
                headers=(),
                account_key="",
                client_timeout_s=None,
                prompt=(),
                last_event_id=None,
                arrived_at=0.0,
                service=name,
                work=work,
            )
        )

    def find_named_account(self, name: str) -> configuration.Account | None:
        """Returns an account by name, None if it is not listed."""
        return self.find_account(name)
