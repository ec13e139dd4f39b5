"""What all programs share: exit codes, targets and the display of errors."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
import dataclasses
import json
import sys
from typing import Annotated
from typing import Any
from typing import TypeVar

import aiohttp
import cappa

from agatedock import errors

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
EXIT_UNKNOWN = 5
CALL_TIMEOUT_S = 5.0

T = TypeVar("T")


class ExitError(errors.UserError):  # noqa: N818
    """User error with an exit code of its own."""

    def __init__(self, code: int, message: str):
        self.code = code
        super().__init__(message)


@dataclasses.dataclass(kw_only=True)
class CommonOptions:
    """Options that every command of an operator understands."""

    router: Annotated[
        str,
        cappa.Arg(
            long="--router",
            default=cappa.Env("AGATEDOCK_ROUTER", default=""),
            help="URL of any router's peer port.",
        ),
    ] = ""
    key_value: Annotated[
        str,
        cappa.Arg(
            long="--key-value",
            default=cappa.Env("AGATEDOCK_KEY_VALUE", default=""),
            help="URL of the key-value service.",
        ),
    ] = ""
    as_json: Annotated[
        bool,
        cappa.Arg(long="--json", help="Print JSON."),
    ] = False


@contextlib.contextmanager
def show_user_errors() -> Iterator[None]:
    """Shows a user error as plain lines and ends with its exit code."""
    try:
        yield
    except errors.Unavailable as error:
        print(f"error: no answer: {error}", file=sys.stderr)
        sys.exit(EXIT_UNAVAILABLE)
    except errors.UserError as error:
        for line in str(error).splitlines():
            print(f"error: {line}", file=sys.stderr)
        sys.exit(getattr(error, "code", EXIT_FAILED))


def run_coroutine(coroutine: Coroutine[Any, Any, T]) -> T:
    """Runs a command's work to its end."""
    return asyncio.run(coroutine)


async def fetch_from_router(options: CommonOptions, path: str) -> Any:
    """Returns the JSON that a router answers.

    Raises:
      errors.Unavailable: No answer came.
    """
    if not options.router:
        raise ExitError(EXIT_USAGE, "--router or AGATEDOCK_ROUTER is needed")
    return await fetch_url(options.router.rstrip("/") + path)


async def fetch_url(url: str, data: bytes | None = None) -> Any:
    """Returns the JSON at a URL; with data it posts them.

    Raises:
      errors.Unavailable: No answer came.
    """
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    method = "GET" if data is None else "POST"
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, data=data) as response,
        ):
            if response.status != 200:
                raise errors.Unavailable(f"{url}: status {response.status}")
            return await response.json()
    except (aiohttp.ClientError, TimeoutError) as error:
        raise errors.Unavailable(f"{url}: {error!r}") from None


def print_rows(
    options: CommonOptions, rows: list[dict], columns: list[str]
) -> None:
    """Prints rows as an aligned table for people or as JSON."""
    if options.as_json:
        print(json.dumps(rows, indent=2))
        return
    table = [columns] + [
        ["-" if row.get(c) is None else str(row[c]) for c in columns]
        for row in rows
    ]
    widths = [
        max(len(row_cells[i]) for row_cells in table)
        for i in range(len(columns))
    ]
    for row_cells in table:
        cells = (
            cell.ljust(width)
            for cell, width in zip(row_cells, widths, strict=True)
        )
        print("  ".join(cells).rstrip())
