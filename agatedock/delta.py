"""Differences between configuration revisions, small enough to gossip."""

from __future__ import annotations

import dataclasses
import json
from typing import Any

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
    before = json.loads(fleet.encode(old))
    after = json.loads(fleet.encode(new))
    old_items = {item["id"]: item for item in before.pop("exceptions")}
    new_items = {item["id"]: item for item in after.pop("exceptions")}
    put = [v for k, v in new_items.items() if old_items.get(k) != v]
    drop = [k for k in old_items if k not in new_items]
    plain = [k for k in old_items if k in new_items]
    plain += [k for k in new_items if k not in old_items]
    order = list(new_items) if plain != list(new_items) else None
    fields = {k: v for k, v in after.items() if before.get(k) != v}
    return Delta(old.revision, fleet.digest(new), fields, put, drop, order)


def apply(document: fleet.Document, delta: Delta) -> fleet.Document | None:
    """Returns the next document, or None if the delta does not fit."""
    if document.revision != delta.base:
        return None
    data = json.loads(fleet.encode(document))
    items = {item["id"]: item for item in data["exceptions"]}
    for key in delta.drop:
        items.pop(key, None)
    for item in delta.put:
        items[item["id"]] = item
    if delta.order is not None:
        items = {key: items[key] for key in delta.order if key in items}
    data.update(delta.fields)
    data["exceptions"] = list(items.values())
    result = fleet.Document.model_validate(data)
    return result if fleet.digest(result) == delta.digest else None
