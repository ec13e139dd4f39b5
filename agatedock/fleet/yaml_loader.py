"""Loads and validates YAML, with file, line and key path in each error."""

from __future__ import annotations

import difflib
import pathlib
from typing import Any
from typing import TypeVar

import pydantic
import yaml

from agatedock import errors

M = TypeVar("M", bound=pydantic.BaseModel)
KeyLines = dict[tuple[str | int, ...], int]


def load_text(text: str, source: str) -> tuple[dict[str, Any], KeyLines]:
    """Parses YAML.

    Args:
      text: The YAML text.
      source: File name for the locations of findings.

    Returns:
      The mapping and the line of each of its key paths.

    Raises:
      errors.FindingsError: The text is not YAML or not a mapping.
    """
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        data = yaml.safe_load(text)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        problem = getattr(error, "problem", None) or str(error)
        raise errors.FindingsError(
            [errors.Finding(f"{source}:{line}", f"not YAML: {problem}")]
        ) from error
    if node is None or data is None:
        return {}, {}
    if not isinstance(data, dict):
        raise errors.FindingsError(
            [errors.Finding(f"{source}:1", "must be a mapping of keys")]
        )
    lines: KeyLines = {}
    _collect_lines(node, (), lines)
    return data, lines


def load_file(path: pathlib.Path) -> tuple[dict[str, Any], KeyLines]:
    """Reads a YAML file; returns its mapping and the line of each key path.

    Raises:
      errors.UserError: The file cannot be read, is not YAML or has no mapping.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise errors.UserError(
            f"cannot read {path}: {error.strerror}"
        ) from None
    return load_text(text, str(path))


def _collect_lines(
    node: yaml.Node, path: tuple[str | int, ...], lines: KeyLines
) -> None:
    lines[path] = node.start_mark.line + 1
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            _collect_lines(value, (*path, key.value), lines)
            lines[(*path, key.value)] = key.start_mark.line + 1
    elif isinstance(node, yaml.SequenceNode):
        for index, item in enumerate(node.value):
            _collect_lines(item, (*path, index), lines)


def format_location(
    path: tuple[str | int, ...], lines: KeyLines, source: str
) -> str:
    """Returns `source:line key.path`.

    The line is that of the longest prefix of the path that the file has.
    """
    nearest = path
    while nearest and nearest not in lines:
        nearest = nearest[:-1]
    dotted = ".".join(str(part) for part in path) or "(document)"
    return f"{source}:{lines.get(nearest, 1)} {dotted}"


def check(
    model: type[M], data: dict[str, Any], lines: KeyLines, source: str
) -> M:
    """Validates data against a model.

    Raises:
      errors.FindingsError: The data is invalid; it has all findings with their
        locations.
    """
    try:
        return model.model_validate(data)
    except pydantic.ValidationError as error:
        findings = []
        for detail in error.errors():
            path = detail["loc"]
            message = detail["msg"]
            if detail["type"] == "extra_forbidden":
                message = _describe_unknown_key(model, path)
            findings.append(
                errors.Finding(format_location(path, lines, source), message)
            )
        raise errors.FindingsError(findings) from None


def _describe_unknown_key(
    model: type[pydantic.BaseModel], path: tuple[str | int, ...]
) -> str:
    """Returns the message for an unknown key, with the closest known key."""
    known_keys = _find_keys(model, path[:-1])
    close_matches = difflib.get_close_matches(str(path[-1]), known_keys, n=1)
    hint = f"; did you mean {close_matches[0]!r}?" if close_matches else ""
    return f"unknown key{hint}"


def _find_keys(
    model: type[pydantic.BaseModel], path: tuple[str | int, ...]
) -> list[str]:
    current: Any = model
    for part in path:
        if isinstance(part, int):
            continue
        field = getattr(current, "model_fields", {}).get(part)
        if field is None:
            return []
        current = _unwrap_model(field.annotation)
    return list(getattr(current, "model_fields", {}))


def _unwrap_model(annotation: Any) -> Any:
    """Returns the model class in list[...], dict[..., ...] or X | None."""
    for argument in getattr(annotation, "__args__", ()):
        inner = _unwrap_model(argument)
        if isinstance(inner, type) and issubclass(inner, pydantic.BaseModel):
            return inner
    return annotation
