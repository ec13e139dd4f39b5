"""Shared by all commands: options, exit codes, errors and HTTP calls."""

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

from agatedock import body_buffers
from agatedock import connections
from agatedock import errors

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
EXIT_UNKNOWN = 5
CALL_TIMEOUT_S = 5.0
# Many times the state dump of a router.
ANSWER_MAX_BYTES = 64 * 1024 * 1024
_BAD_REQUEST = 400

T = TypeVar("T")


class ExitError(errors.UserError):  # noqa: N818
    """User error with a specific exit code.

    Attributes:
      code: Exit code of the program.
    """

    def __init__(self, code: int, message: str):
        self.code = code
        super().__init__(message)


class RejectedError(errors.Unavailable):
    """A router did not understand a call; the message says why."""


@dataclasses.dataclass(kw_only=True)
class CommonOptions:
    """Options of all operator commands."""

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
    """Prints a user error to standard error and exits with its code."""
    try:
        yield
    except errors.Unavailable as error:
        print(f"error: no reply: {error}", file=sys.stderr)
        sys.exit(EXIT_UNAVAILABLE)
    except errors.UserError as error:
        for line in str(error).splitlines():
            print(f"error: {line}", file=sys.stderr)
        sys.exit(getattr(error, "code", EXIT_FAILED))


def run_coroutine(coroutine: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine in a new event loop and returns its result."""
    return asyncio.run(coroutine)


async def fetch_from_router(options: CommonOptions, path: str) -> Any:
    """Returns the decoded JSON at a path of the router in the options.

    Raises:
      ExitError: No router is given.
      errors.Unavailable: The router did not respond with status 200.
    """
    if not options.router:
        raise ExitError(EXIT_USAGE, "--router or AGATEDOCK_ROUTER is needed")
    return await fetch_url(options.router.rstrip("/") + path)


async def fetch_url(url: str, data: bytes | None = None) -> Any:
    """Returns the decoded JSON at a URL, with POST if there is data.

    Raises:
      errors.Unavailable: The server did not respond with status 200.
      RejectedError: It responded with status 400.
    """
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    method = "GET" if data is None else "POST"
    try:
        async with (
            connections.make_session(timeout=timeout) as session,
            session.request(method, url, data=data) as response,
        ):
            body = await body_buffers.read(response.content, ANSWER_MAX_BYTES)
            if response.status == _BAD_REQUEST:
                raise RejectedError(body.decode(errors="replace"))
            if response.status != 200:
                raise errors.Unavailable(f"{url}: status {response.status}")
            return json.loads(body)
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise errors.Unavailable(f"{url}: {error!r}") from None


def print_rows(
    options: CommonOptions, rows: list[dict], columns: list[str]
) -> None:
    """Prints rows as an aligned table, or as JSON with `--json`.

    Args:
      options: Options of the command.
      rows: Values by column name.
      columns: Columns of the table; the JSON output has all values.
    """
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
