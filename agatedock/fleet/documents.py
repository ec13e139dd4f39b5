"""The fleet configuration: one set of defaults and a list of exceptions."""

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
# Defaults that an exception may set for single accounts; all others describe a
# model or service as a whole.
PER_ACCOUNT_KEYS = frozenset(
    {"account_weight", "work_max_tokens", "claim_ttl_ms"}
)
_Text = Annotated[str, pydantic.StringConstraints(min_length=1)]


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Defaults(_StrictModel):
    """Values in force where no exception applies.

    Attributes:
      load_bound: Most requests on an engine, as a multiple of the mean.
      load_bound_slack: Requests by which an engine may pass that multiple.
      engine_slots: Most requests that one engine runs at once.
      service_slots: Most requests that one replica of a service runs at once.
      account_weight: Share of an account beside others of its rank.
      work_max_tokens: Largest prompt and answer of one request together.
      retry_ratio: Retries allowed for each first try.
      claim_ttl_ms: How long the answer to a keyed request is kept.
      placement: Placement policy of chats.
      weight_loads_per_min: Most loads from the weight store over all models.
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
    """One of the three ranks, the most urgent first.

    Attributes:
      first_token_ms: Target from acceptance to the first token.
      worth: Value of one answer in time, relative to the other ranks.
      floor_share: Share of every engine's slots kept for this rank.
    """

    name: _Text
    first_token_ms: Annotated[int, pydantic.Field(gt=0)]
    worth: Annotated[float, pydantic.Field(gt=0)]
    floor_share: Annotated[float, pydantic.Field(ge=0, le=1)]


class Model(_StrictModel):
    """A model served by engines.

    Attributes:
      version: Version that every engine is to load; empty leaves it alone.
      adapters: Adapters that every engine is to hold.
      role: Role of the engines; empty leaves it alone.
      roles: Roles of single engines by name.
      checks_fence: Whether the engines refuse orders with an old fencing
        number; if not, a holder acts only well inside its lease.
    """

    name: _Text
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = ""
    roles: dict[str, str] = {}
    checks_fence: bool = True


class Service(_StrictModel):
    """A plain service beside the engines.

    Attributes:
      idempotent: Patterns `METHOD /path*` of calls that may be repeated;
        everything else is sent at most once.
    """

    name: _Text
    idempotent: tuple[str, ...] = ("GET *", "HEAD *")

    def is_idempotent(self, method: str, path: str) -> bool:
        """Tells whether a call may be repeated."""
        call = f"{method} {path}"
        return any(fnmatch.fnmatchcase(call, p) for p in self.idempotent)


class Match(_StrictModel):
    """What an exception applies to; an empty field matches everything."""

    account: str = ""
    model: str = ""
    service: str = ""

    def get_criteria(self) -> dict[str, str]:
        """Returns the fields that restrict the match."""
        return {k: v for k, v in self.model_dump().items() if v}


class Override(_StrictModel):
    """A deviation from the defaults, with the reason for it."""

    id: _Text
    match: Match
    set: dict[str, Any]
    reason: Annotated[
        str, pydantic.StringConstraints(strip_whitespace=True, min_length=1)
    ]
    author: _Text
    expires: datetime.datetime | None = None

    def applies(self, scope: Match, now_ms: int) -> bool:
        """Tells whether the exception is in force for a scope."""
        if self.expires and self.expires.timestamp() * 1000 <= now_ms:
            return False
        scope_values = scope.model_dump()
        return all(
            scope_values[k] == v for k, v in self.match.get_criteria().items()
        )


class Document(_StrictModel):
    """The whole fleet configuration of one revision.

    Attributes:
      revision: Number that only grows; 0 before the first edit.
      accepted_ms: Wall-clock time of acceptance in milliseconds.
      works: Kinds of work that callers name, each with its rank.
      accounts: Known client accounts; empty admits every name.
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
    exceptions: tuple[Override, ...] = ()

    def find_model(self, name: str) -> Model | None:
        """Returns the model of that name."""
        return next((m for m in self.models if m.name == name), None)

    def find_service(self, name: str) -> Service | None:
        """Returns the plain service of that name."""
        return next((s for s in self.services if s.name == name), None)

    def find_rank_index(self, work: str) -> int:
        """Returns the index of the rank of a kind of work, 0 most urgent."""
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
    """Validates an operator's document and reports all findings together.

    Raises:
      errors.FindingsError: With the place of every finding.
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
    # Requests and VMs name a model or service by its name alone.
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
    known = {
        "account": document.accounts,
        "model": tuple(m.name for m in document.models),
        "service": tuple(s.name for s in document.services),
    }
    for field, value in override.match.get_criteria().items():
        if known[field] and value not in known[field]:
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
