"""Settings of one process, merged from defaults, a file and options."""

from __future__ import annotations

import importlib.resources
import pathlib
from typing import Annotated
from typing import Any

import pydantic
import yaml

from agatedock import errors
from agatedock.fleet import yaml_loader

_Name = Annotated[str, pydantic.StringConstraints(pattern=r"^[\w.-]{1,40}$")]
_Port = Annotated[int, pydantic.Field(ge=0, le=65535)]
_Milliseconds = Annotated[int, pydantic.Field(gt=0)]
_Count = Annotated[int, pydantic.Field(gt=0)]


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Listen(_Section):
    """Listening address and ports of this process, and its link speed."""

    host: str
    caller_port: _Port
    peer_port: _Port
    link_mbps: _Count


class Platform(_Section):
    """Clients and URLs of the key-value service and the VM list."""

    key_value: str
    key_value_url: str
    vm_list: str
    vm_list_url: str


class Limits(_Section):
    """Size limits and timeouts for clients and upstreams."""

    header_max_bytes: _Count
    header_timeout_ms: _Milliseconds
    body_max_bytes: _Count
    body_timeout_ms: _Milliseconds
    upstream_silence_ms: _Milliseconds
    chat_timeout_ms: _Milliseconds
    service_timeout_ms: _Milliseconds
    drain_timeout_ms: _Milliseconds
    memory_mb: Annotated[int, pydantic.Field(ge=0)]


class Steward(_Section):
    """Timing of the steward, the controller that sends orders to engines."""

    lease_ms: _Milliseconds
    order_timeout_ms: _Milliseconds
    poll_ms: _Milliseconds


class Log(_Section):
    """Logging."""

    level: Annotated[
        str, pydantic.StringConstraints(pattern="^(debug|info|warning|error)$")
    ]


class Settings(_Section):
    """All settings of one router or steward."""

    name: _Name
    failure_domain: _Name
    listen: Listen
    platform: Platform
    limits: Limits
    steward: Steward
    log: Log


def load(path: pathlib.Path | None, options: list[str]) -> Settings:
    """Returns the validated settings, merged from all three layers.

    Args:
      path: The operator's settings file, or None.
      options: `KEY.PATH=VALUE` from the command line; values are YAML.

    Raises:
      errors.FindingsError: The settings are invalid; holds all findings.
      errors.UserError: An option has no `=`.
    """
    packaged = importlib.resources.files("agatedock.native") / "defaults.yaml"
    merged, _ = yaml_loader.load_text(packaged.read_text(), "defaults.yaml")
    source = "defaults.yaml"
    key_lines: yaml_loader.KeyLines = {}
    if path is not None:
        data, key_lines = yaml_loader.load_file(path)
        source = str(path)
        merged = merge(merged, data)
    for option in options:
        merged = merge(merged, _parse_option(option))
    return yaml_loader.check(Settings, merged, key_lines, source)


def merge(base: dict[str, Any], overrides: dict[str, Any]) -> dict[str, Any]:
    """Returns `base` with `overrides` merged into it, dictionary by dictionary.

    Other values, lists included, are replaced.
    """
    result = dict(base)
    for key, value in overrides.items():
        if isinstance(value, dict) and isinstance(result.get(key), dict):
            result[key] = merge(result[key], value)
        else:
            result[key] = value
    return result


def _parse_option(option: str) -> dict[str, Any]:
    key, separator, text = option.partition("=")
    if not separator:
        raise errors.UserError(f"--set {option!r}: expected KEY.PATH=VALUE")
    value: Any = yaml.safe_load(text)
    for key_part in reversed(key.split(".")):
        value = {key_part: value}
    return value
