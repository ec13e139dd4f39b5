"""Parses and formats `HOST:PORT` addresses."""

from __future__ import annotations

Address = tuple[str, int]


def split(text: str) -> Address | None:
    """Returns host and port, or None if the text is not an address."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit():
        return None
    return host, int(port)


def join(address: Address) -> str:
    """Returns `HOST:PORT`."""
    return f"{address[0]}:{address[1]}"
