"""Explains where a request would go now, without sending it.

It decides by the modules that place requests, from the same views, but
reserves nothing, asks no other router and records nothing.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses

from agatedock import errors
from agatedock import hashing
from agatedock.decisions import admission
from agatedock.decisions import fetching
from agatedock.decisions import placement
from agatedock.decisions import quarantine
from agatedock.domain import configuration
from agatedock.domain import replicas
from agatedock.domain import requests
from agatedock.serving import state
from agatedock.views import crash_reports

# A view that was confirmed longer ago is called stale.
STALE_S = 3.0
REQUEST_ID = "explained"


class UnknownNameError(errors.UserError):
    """A route, account or failure domain is not known."""


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """The request to explain.

    Attributes:
      route: Name of its route.
      account: Name of the client account; empty for none.
      prompt: Parts of its prompt, in order.
      domain: Failure domain that it comes from; empty for the router's own.
    """

    route: str
    account: str = ""
    prompt: tuple[requests.PromptPart, ...] = ()
    domain: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A replica of the service, and why it is used or not.

    Attributes:
      name: Its id.
      failure_domain: Its failure domain.
      verdict: "first", "next" or why it gets nothing.
      running: Requests at it, as this router knows.
      max_running: Most requests that placements give it now.
      slowness: How many times as long as usual work takes there.
      crosses: Whether a request would leave its failure domain.
    """

    name: str
    failure_domain: str
    verdict: str
    running: int
    max_running: int
    slowness: float
    crosses: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Where a request would go, and why.

    Attributes:
      domain: Failure domain that the request comes from.
      service: The service that the request goes to.
      decision: "place" or "refuse".
      reason: Name of the policy, or of the refusal.
      retry_after_s: When a refused client would be told to return.
      fetch_from: Replica that cached parts are fetched from; empty for none.
      unread_tokens: Tokens of the prompt that are to be read.
      leaving_share: Share of such requests that leaves the failure domain;
        None if domains are not considered or the prompt decides.
      configuration_age_ms: Time since the configuration was confirmed.
      counts_age_ms: Mean age of what other routers report.
      is_stale: Whether the configuration was confirmed too long ago.
      candidates: The replicas, those that would be tried first in order.
    """

    domain: str
    service: str
    decision: str
    reason: str
    retry_after_s: float
    fetch_from: str
    unread_tokens: int
    leaving_share: float | None
    configuration_age_ms: int
    counts_age_ms: int
    is_stale: bool
    candidates: list[Candidate]


class Explainer:
    """Explains requests by the views of one router."""

    def __init__(self, shared: state.SharedState, now: float) -> None:
        """Explains what would happen at one moment.

        Args:
          shared: The views of the router.
          now: Present time in seconds.
        """
        self._shared = shared
        self._now = now

    def explain(self, query: Query) -> Explanation:
        """Returns where a request would go.

        Raises:
          UnknownNameError: Its route, account or domain is not known.
        """
        route = self._find_route(query.route)
        account = self._find_account(query.account)
        self._check_domain(query.domain)
        request = _make_request(query, self._now)
        service_name = self._shared.choose_service(route, request)
        service = self._shared.find_service(service_name)
        if service is None:
            raise UnknownNameError(f"unknown service {service_name!r}")
        homes = configuration.list_homes(route, account)
        reasons = self._list_reasons(service_name, homes, request)
        usable = [
            item
            for item in self._shared.directory.list_all()
            if reasons.get(item.replica_id) == ""
        ]
        task = placement.Task(
            request,
            service,
            usable,
            rank=route.rank if account.rank is None else account.rank,
            limited_ids=self._shared.replica_limits.list_recently_limited(
                usable, self._now
            ),
            homes=homes,
        )
        preferences = None
        if usable:
            preferences = placement.build_preference_list(
                task, self._shared.view, self._now
            )
        return self._describe(query, route, task, preferences, reasons)

    def _find_route(self, name: str) -> configuration.Route:
        config = self._shared.configuration_view.current
        route = None if config is None else config.find_named_route(name)
        if route is None:
            raise UnknownNameError(f"unknown route {name!r}")
        return route

    def _find_account(self, name: str) -> configuration.Account:
        if not name:
            return configuration.ANONYMOUS
        config = self._shared.configuration_view.current
        account = None if config is None else config.find_named_account(name)
        if account is None:
            raise UnknownNameError(f"unknown account {name!r}")
        return account

    def _check_domain(self, name: str) -> None:
        known = {item.zone for item in self._shared.directory.list_all()}
        if name and name not in known | {self._shared.zone}:
            raise UnknownNameError(f"unknown failure domain {name!r}")

    def _list_reasons(
        self,
        service: str,
        homes: frozenset[str] | None,
        request: requests.Request,
    ) -> dict[str, str]:
        """Returns why each replica of a service gets nothing, by id.

        The reason is empty for those that may get the request.
        """
        part_hashes = crash_reports.hash_parts(request)
        return {
            item.replica_id: self._find_reason(item, homes, part_hashes)
            for item in self._shared.directory.list_all()
            if item.service == service
        }

    def _find_reason(
        self,
        replica: replicas.Replica,
        homes: frozenset[str] | None,
        part_hashes: Sequence[int],
    ) -> str:
        shared, now = self._shared, self._now
        if shared.directory.evacuations.includes(replica.zone):
            return "evacuated"
        if not shared.directory.is_usable(replica):
            return "draining"
        if homes is not None and replica.region not in homes:
            return "outside_homes"
        if shared.pauses.is_paused(replica, now):
            return "paused"
        if not shared.replica_limits.list_open([replica], now):
            is_cold = shared.cold_replicas.find(replica, now) is not None
            return "cold" if is_cold else "rate_limited"
        version_hash = hashing.hash_name(replica.version)
        cause = quarantine.find_cause(
            part_hashes, version_hash, shared.crash_evidence, is_retry=False
        )
        return "" if cause is None else "crashed_part"

    def _describe(
        self,
        query: Query,
        route: configuration.Route,
        task: placement.Task,
        preferences: placement.PreferenceList | None,
        reasons: dict[str, str],
    ) -> Explanation:
        shared, now = self._shared, self._now
        chosen = None if preferences is None else preferences.replicas[0]
        source = None
        if chosen is not None:
            source = fetching.find_source(
                task.request, chosen, task.homes, shared.view, now
            )
        age_s = shared.configuration_view.age_s(now)
        share = shared.view.get_leaving_share(task.service.name)
        refusal, retry_after_s = self._find_refusal(route, task, preferences)
        return Explanation(
            domain=query.domain or shared.zone,
            service=task.service.name,
            decision="refuse" if refusal else "place",
            reason=refusal or (preferences.reason if preferences else ""),
            retry_after_s=retry_after_s,
            fetch_from="" if source is None else source.replica_id,
            unread_tokens=(
                0
                if chosen is None
                else fetching.count_unread_tokens(
                    task.request, source or chosen, shared.view, now
                )
            ),
            leaving_share=None if task.request.affinity_key else share,
            configuration_age_ms=round(1000 * min(age_s, 1e6)),
            counts_age_ms=round(1000 * shared.routers.mean_age_s(now)),
            is_stale=age_s > STALE_S,
            candidates=self._list_candidates(query, task, preferences, reasons),
        )

    def _find_refusal(
        self,
        route: configuration.Route,
        task: placement.Task,
        preferences: placement.PreferenceList | None,
    ) -> tuple[str, float]:
        """Returns why the request would be refused, and Retry-After."""
        if preferences is None:
            return "no_upstream", admission.NO_REPLICA_RETRY_AFTER_S
        decision = self._decide_admission(route, task, preferences.replicas[0])
        if decision.admitted:
            return "", 0.0
        return "overloaded", decision.retry_after_s

    def _decide_admission(
        self,
        route: configuration.Route,
        task: placement.Task,
        replica: replicas.Replica,
    ) -> admission.Decision:
        shared = self._shared
        service = task.service.name
        fraction_ahead = 1.0
        if task.request.prompt:
            fraction_ahead = shared.occupancy.fraction_ahead(service, task.rank)
        return admission.decide(
            admission.QueueState(
                running=shared.loads.count_total(replica.replica_id),
                slots=replica.slots,
                duration_s=shared.durations.mean_s(service)
                or route.target_latency_s,
                target_latency_s=route.target_latency_s,
                remaining_s=route.timeout_s,
                fraction_ahead=fraction_ahead,
            )
        )

    def _list_candidates(
        self,
        query: Query,
        task: placement.Task,
        preferences: placement.PreferenceList | None,
        reasons: dict[str, str],
    ) -> list[Candidate]:
        """Returns all replicas of the service, in the order of the choice."""
        preferred = [] if preferences is None else preferences.replicas
        ordered = list(preferred)
        ordered += [
            item
            for item in self._shared.directory.list_all()
            if item.replica_id in reasons and item not in preferred
        ]
        max_running = 0 if preferences is None else preferences.max_running
        return [
            self._describe_candidate(
                query,
                item,
                _name_verdict(item, preferred, reasons),
                max_running,
            )
            for item in ordered
        ]

    def _describe_candidate(
        self,
        query: Query,
        replica: replicas.Replica,
        verdict: str,
        max_running: int,
    ) -> Candidate:
        shared = self._shared
        if verdict == "next" and shared.health.is_suspended(
            replica.replica_id, self._now
        ):
            verdict = "suspended"
        return Candidate(
            name=replica.replica_id,
            failure_domain=replica.zone,
            verdict=verdict,
            running=shared.loads.count_total(replica.replica_id),
            max_running=max_running,
            slowness=round(shared.get_slowness(replica.replica_id), 2),
            crosses=replica.zone != (query.domain or shared.zone),
        )


def _name_verdict(
    replica: replicas.Replica,
    preferred: list[replicas.Replica],
    reasons: dict[str, str],
) -> str:
    if replica in preferred:
        return "first" if replica is preferred[0] else "next"
    return reasons[replica.replica_id] or "not_preferred"


def _make_request(query: Query, now: float) -> requests.Request:
    return requests.Request(
        request_id=REQUEST_ID,
        method="POST",
        host="",
        target="/",
        headers=(),
        account_key="",
        client_timeout_s=None,
        prompt=query.prompt,
        last_event_id=None,
        arrived_at=now,
    )
