"""Differences between configuration revisions, small enough to gossip."""

from __future__ import annotations

import dataclasses
from typing import Any

import pydantic

from agatedock import fleet


@dataclasses.dataclass(frozen=True)
class Delta:
    """What turns one revision into the next.

    Attributes:
      base: Revision it applies to.
      digest: Digest of the resulting document.
      fields: New values of changed top-level fields except the exceptions.
      put: Exceptions added or changed.
      drop: Ids of exceptions removed.
      order: Ids of all exceptions if their order changed, else None.
    """

    base: int
    digest: int
    fields: dict[str, Any]
    put: list[dict[str, Any]]
    drop: list[str]
    order: list[str] | None = None


def compute(old: fleet.Document, new: fleet.Document) -> Delta:
    """Returns the delta from one document to another."""
    old_items = {item.id: item for item in old.exceptions}
    new_items = {item.id: item for item in new.exceptions}
    put = [v for k, v in new_items.items() if old_items.get(k) != v]
    drop = [k for k in old_items if k not in new_items]
    plain = [k for k in old_items if k in new_items]
    plain += [k for k in new_items if k not in old_items]
    order = list(new_items) if plain != list(new_items) else None
    before, after = fleet.dump_head(old), fleet.dump_head(new)
    return Delta(
        old.revision,
        fleet.digest(new),
        {k: v for k, v in after.items() if before.get(k) != v},
        [item.model_dump(mode="json") for item in put],
        drop,
        order,
    )


def apply(document: fleet.Document, delta: Delta) -> fleet.Document | None:
    """Returns the next document, or None if the delta does not fit.

    Only what the delta carries is validated: a change must cost little in a
    document of thousands of exceptions.
    """
    if document.revision != delta.base:
        return None
    items = {item.id: item for item in document.exceptions}
    for key in delta.drop:
        items.pop(key, None)
    try:
        for data in delta.put:
            item = fleet.Exception_.model_validate(data)
            items[item.id] = item
        head = fleet.Document.model_validate(
            {**fleet.dump_head(document), **delta.fields}
        )
    except pydantic.ValidationError:
        return None
    if delta.order is not None:
        items = {key: items[key] for key in delta.order if key in items}
    result = head.model_copy(update={"exceptions": tuple(items.values())})
    return result if fleet.digest(result) == delta.digest else None
