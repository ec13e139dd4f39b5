"""Schema and validation of the fleet configuration.

A document has one set of defaults and, under the key `exceptions`, a list of
overrides. Every request has a rank: a priority class with index 0 for the
highest priority.
"""

from __future__ import annotations

from collections.abc import Iterator
import datetime
import fnmatch
from typing import Annotated
from typing import Any

import pydantic

from agatedock import errors
from agatedock.fleet import yaml_loader

RANK_COUNT = 3
# Defaults that an override may set for a single account; all others apply to a
# model or service as a whole.
PER_ACCOUNT_KEYS = frozenset(
    {"account_weight", "work_max_tokens", "claim_ttl_ms"}
)
_NonEmptyStr = Annotated[str, pydantic.StringConstraints(min_length=1)]


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Defaults(_StrictModel):
    """Values that apply where no override does.

    Attributes:
      load_bound: Maximum number of running requests on a replica, as a
        multiple of the mean.
      load_bound_slack: Number of requests by which a replica may exceed that
        multiple.
      engine_slots: Maximum number of requests that one engine runs at once.
      service_slots: Maximum number of requests that one replica of a service
        runs at once.
      account_weight: Weight of an account when the accounts of one rank share
        the capacity.
      work_max_tokens: Maximum number of prompt and completion tokens of one
        request together.
      retry_ratio: Maximum number of retries per first attempt.
      claim_ttl_ms: How long the response to a request with an idempotency key
        is stored.
      placement: Name of the placement policy for chat requests.
      weight_loads_per_min: Maximum number of loads from the weight store per
        minute, over all models.
    """

    load_bound: Annotated[float, pydantic.Field(ge=1.0, le=10.0)] = 1.5
    load_bound_slack: Annotated[float, pydantic.Field(ge=0)] = 3.0
    engine_slots: Annotated[int, pydantic.Field(ge=1)] = 16
    service_slots: Annotated[int, pydantic.Field(ge=1)] = 64
    account_weight: Annotated[float, pydantic.Field(gt=0)] = 1.0
    work_max_tokens: Annotated[int, pydantic.Field(ge=1)] = 200_000
    retry_ratio: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.1
    claim_ttl_ms: Annotated[int, pydantic.Field(ge=1000)] = 86_400_000
    placement: str = "prefix"
    weight_loads_per_min: Annotated[float, pydantic.Field(gt=0)] = 6.0


class Rank(_StrictModel):
    """A rank: one of the three priority classes, highest priority first.

    Attributes:
      first_token_ms: Target latency from acceptance to the first token.
      worth: Value of a response within the target latency, relative to the
        other ranks.
      floor_share: Guaranteed minimum share of every engine's slots.
    """

    name: _NonEmptyStr
    first_token_ms: Annotated[int, pydantic.Field(gt=0)]
    worth: Annotated[float, pydantic.Field(gt=0)]
    floor_share: Annotated[float, pydantic.Field(ge=0, le=1)]


class Model(_StrictModel):
    """A model served by engines.

    Attributes:
      version: Version that every engine loads; empty leaves it unchanged.
      adapters: Adapters that every engine loads.
      role: Role of the engines; empty leaves it unchanged.
      roles: Roles of single engines, by engine name.
      checks_fence: Whether the engines reject orders with an outdated fencing
        token. If not, orders of a previous holder are prevented only by the
        check that an order ends well within the lease.
    """

    name: _NonEmptyStr
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = ""
    roles: dict[str, str] = {}
    checks_fence: bool = True


class Service(_StrictModel):
    """A plain HTTP service.

    Attributes:
      idempotent: Patterns `METHOD /path*` of calls that may be retried; all
        other calls are sent at most once.
    """

    name: _NonEmptyStr
    idempotent: tuple[str, ...] = ("GET *", "HEAD *")

    def is_idempotent(self, method: str, path: str) -> bool:
        """Returns whether a call may be retried."""
        call = f"{method} {path}"
        return any(fnmatch.fnmatchcase(call, p) for p in self.idempotent)


class Match(_StrictModel):
    """Criteria of an override; an empty field matches every value."""

    account: str = ""
    model: str = ""
    service: str = ""

    def get_criteria(self) -> dict[str, str]:
        """Returns the non-empty fields, by name."""
        return {k: v for k, v in self.model_dump().items() if v}


class Override(_StrictModel):
    """An override of defaults for the requests that match.

    Attributes:
      set: Overridden defaults by name.
      expires: Time from which the override no longer applies; None if it does
        not expire.
    """

    id: _NonEmptyStr
    match: Match
    set: dict[str, Any]
    reason: Annotated[
        str, pydantic.StringConstraints(strip_whitespace=True, min_length=1)
    ]
    author: _NonEmptyStr
    expires: datetime.datetime | None = None

    def applies(self, scope: Match, now_ms: int) -> bool:
        """Returns whether the override applies to a scope at a time."""
        if self.expires and self.expires.timestamp() * 1000 <= now_ms:
            return False
        scope_values = scope.model_dump()
        return all(
            scope_values[k] == v for k, v in self.match.get_criteria().items()
        )


class Document(_StrictModel):
    """One revision of the fleet configuration.

    Attributes:
      revision: Number of the edit, increasing; 0 before the first edit.
      accepted_ms: Wall-clock time of acceptance in milliseconds.
      default_rank: Name of the rank of requests without a known kind of work.
      works: Name of the rank of each kind of work that clients name.
      accounts: Known client accounts; if empty, every account is accepted,
        unless `accounts_closed` is set.
      accounts_closed: Whether an account that is not listed is rejected even
        if none is listed, as after the last one was taken away.
      exceptions: Overrides of the defaults.
    """

    revision: Annotated[int, pydantic.Field(ge=0)] = 0
    author: str = ""
    reason: str = ""
    accepted_ms: int = 0
    defaults: Defaults = Defaults()
    ranks: tuple[Rank, ...] = (
        Rank(name="urgent", first_token_ms=2000, worth=100, floor_share=0.5),
        Rank(name="normal", first_token_ms=5000, worth=10, floor_share=0.2),
        Rank(name="low", first_token_ms=20000, worth=1, floor_share=0.1),
    )
    default_rank: str = "normal"
    works: dict[str, str] = {}
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    accounts: tuple[str, ...] = ()
    accounts_closed: bool = False
    exceptions: tuple[Override, ...] = ()

    def find_model(self, name: str) -> Model | None:
        """Returns the model of that name, or None if there is none."""
        return next((m for m in self.models if m.name == name), None)

    def find_service(self, name: str) -> Service | None:
        """Returns the plain service of that name, or None if there is none."""
        return next((s for s in self.services if s.name == name), None)

    def find_rank_index(self, work: str) -> int:
        """Returns the rank index of a kind of work, 0 for the highest."""
        name = self.works.get(work, self.default_rank)
        return next(i for i, r in enumerate(self.ranks) if r.name == name)


def encode(document: Document) -> bytes:
    """Returns the canonical JSON of a document."""
    return document.model_dump_json().encode()


def decode(data: bytes) -> Document:
    """Parses canonical JSON.

    Raises:
      pydantic.ValidationError: The data is not a document.
    """
    return Document.model_validate_json(data)


def check(
    data: dict[str, Any], lines: yaml_loader.KeyLines, source: str, now_ms: int
) -> Document:
    """Validates a document that an operator wrote.

    Args:
      data: The parsed YAML.
      lines: Line of each key path, for the locations of findings.
      source: File name, for the locations of findings.
      now_ms: Wall-clock time in milliseconds.

    Raises:
      errors.FindingsError: The document is invalid; it has all findings with
        their locations.
    """
    document = yaml_loader.check(Document, data, lines, source)
    findings = [
        errors.Finding(
            yaml_loader.format_location(path, lines, source), message
        )
        for path, message in _find_semantic_errors(document, now_ms)
    ]
    if findings:
        raise errors.FindingsError(findings)
    return document


_PathFinding = tuple[tuple[str | int, ...], str]


def _find_semantic_errors(
    document: Document, now_ms: int
) -> Iterator[_PathFinding]:
    yield from _check_ranks(document)
    yield from _check_names(document)
    override_ids: dict[str, int] = {}
    for index, override in enumerate(document.exceptions):
        path = ("exceptions", index)
        if override.id in override_ids:
            yield (*path, "id"), f"id {override.id!r} is used twice"
        override_ids[override.id] = index
        yield from _check_override(document, override, path, now_ms)
        yield from _check_override_shadowed(document, index)


def _check_ranks(document: Document) -> Iterator[_PathFinding]:
    if len(document.ranks) != RANK_COUNT:
        yield ("ranks",), f"exactly {RANK_COUNT} ranks are needed"
    total = sum(rank.floor_share for rank in document.ranks)
    if total > 1:
        yield ("ranks",), f"floor_share adds up to {total:g}; at most 1"
    names = {rank.name for rank in document.ranks}
    if document.default_rank not in names:
        yield ("default_rank",), f"no rank {document.default_rank!r}"
    for work, rank in document.works.items():
        if rank not in names:
            yield ("works", work), f"no rank {rank!r}"


def _check_names(document: Document) -> Iterator[_PathFinding]:
    # Models and services share one namespace, because requests and VMs refer
    # to both by name alone.
    names: set[str] = set()
    for kind in ("models", "services"):
        for index, item in enumerate(getattr(document, kind)):
            if item.name in names:
                yield (kind, index, "name"), f"name {item.name!r} stands twice"
            names.add(item.name)


def _check_override(
    document: Document,
    override: Override,
    path: tuple[str | int, ...],
    now_ms: int,
) -> Iterator[_PathFinding]:
    if not override.match.get_criteria():
        yield (*path, "match"), "matches everything; change the defaults"
    if not override.set:
        yield (*path, "set"), "sets nothing"
    known_names = {
        "account": document.accounts,
        "model": tuple(m.name for m in document.models),
        "service": tuple(s.name for s in document.services),
    }
    for field, value in override.match.get_criteria().items():
        if known_names[field] and value not in known_names[field]:
            message = f"can never apply: no {field} {value!r}"
            yield (*path, "match", field), message
    if override.match.model and override.match.service:
        message = "can never apply: no request has a model and a service"
        yield (*path, "match"), message
    if override.expires and override.expires.timestamp() * 1000 <= now_ms:
        yield (*path, "expires"), "can never apply: already expired"
    if override.match.account:
        for key in sorted(set(override.set) - PER_ACCOUNT_KEYS):
            message = "can never apply: holds for all accounts alike"
            yield (*path, "set", key), message
    yield from _check_override_values(override, path)


def _check_override_values(
    override: Override, path: tuple[str | int, ...]
) -> Iterator[_PathFinding]:
    try:
        Defaults.model_validate(override.set)
    except pydantic.ValidationError as error:
        for detail in error.errors():
            yield (*path, "set", *detail["loc"]), detail["msg"]


def _check_override_shadowed(
    document: Document, index: int
) -> Iterator[_PathFinding]:
    override = document.exceptions[index]
    for later in document.exceptions[index + 1 :]:
        if (
            later.match == override.match
            and set(override.set) <= set(later.set)
            and later.expires is None
        ):
            message = f"can never apply: {later.id!r} sets the same"
            yield ("exceptions", index), message
            return
