"""The command `config`, which shows and edits the fleet configuration."""

from __future__ import annotations

import asyncio
import dataclasses
import difflib
import getpass
import json
import pathlib
import time
from typing import Annotated
from typing import Any

import cappa
from returns import result
import yaml

from agatedock import clock
from agatedock import errors
from agatedock import external
from agatedock.fleet import config_store
from agatedock.fleet import documents
from agatedock.fleet import yaml_loader
from agatedock.ui import common

# How long an edit waits until all live routers have applied it.
CONFIRM_TIMEOUT_S = 6.0
CONFIRM_POLL_S = 0.2
PUSH_ROUTERS_MAX = 3
KEY_VALUE_CLIENT = "http"
# Fields that the commands set, not the operator.
_STAMP_KEYS = {"revision", "accepted_ms", "author", "reason"}
_EXIT_CODES = {
    config_store.RejectionCause.CONFLICT: common.EXIT_CONFLICT,
    config_store.RejectionCause.STALE_STORE: common.EXIT_CONFLICT,
    config_store.RejectionCause.UNAVAILABLE: common.EXIT_UNAVAILABLE,
    config_store.RejectionCause.UNKNOWN: common.EXIT_UNKNOWN,
}


def read_document(path: pathlib.Path) -> documents.Document:
    """Reads and validates a fleet configuration file.

    Raises:
      errors.FindingsError: The file is invalid; it has all findings with
        their locations.
    """
    data, lines = yaml_loader.load_file(path)
    return documents.check(data, lines, str(path), clock.read_wall_ms())


def show(command: Show) -> None:
    """Prints the stored configuration, or the one that a router applied."""
    if command.in_force:
        document = common.run_coroutine(_fetch_applied(command))
    else:
        stored = common.run_coroutine(_with_store(command, config_store.read))
        document = stored.document
    if command.as_json:
        print(documents.encode(document).decode())
    else:
        print(_to_yaml(document), end="")


async def _fetch_applied(command: Show) -> documents.Document:
    """Returns a router's configuration; prints its revision and age."""
    dump = await common.fetch_from_router(command, "/dump")
    configuration = dump["configuration"]
    if configuration["version"] is None:
        raise common.ExitError(
            common.EXIT_FAILED, "the router has no configuration yet"
        )
    name = dump["process"]["name"]
    print(
        f"# revision {configuration['revision']} in force at {name}, "
        f"proved current {configuration['proof_age_ms']} ms ago"
    )
    data = await common.fetch_from_router(command, "/config")
    return documents.Document.model_validate(data)


@cappa.command(
    help="Show the stored configuration, or the one that a router applies.",
    epilog=(
        "Examples: agatedock config show > fleet.yaml; "
        "agatedock config show --in-force --router http://10.0.0.4:7100"
    ),
    invoke=show,
)
@dataclasses.dataclass
class Show(common.CommonOptions):
    """Arguments of `config show`."""

    in_force: Annotated[
        bool,
        cappa.Arg(
            long="--in-force",
            help="Show the configuration of the router given by --router.",
        ),
    ] = False


def edit(command: Edit) -> None:
    """Replaces the fleet configuration with the content of a file."""
    document = read_document(command.file)
    common.run_coroutine(_edit(command, document, command.base))


@cappa.command(
    help="Replace the configuration with the content of a file.",
    epilog=(
        "Example: agatedock config edit fleet.yaml --base 7 "
        "--reason 'more slots for the new engines'"
    ),
    invoke=edit,
)
@dataclasses.dataclass
class Edit(common.CommonOptions):
    """Arguments of `config edit`."""

    file: Annotated[
        pathlib.Path, cappa.Arg(help="File with the new configuration.")
    ]
    reason: Annotated[
        str, cappa.Arg(long="--reason", help="Reason for the edit.")
    ]
    author: Annotated[
        str,
        cappa.Arg(
            long="--author",
            help="Author of the edit; default: the login name.",
        ),
    ] = ""
    base: Annotated[
        int | None,
        cappa.Arg(
            long="--base",
            help=(
                "Revision that the file is based on; the edit fails if the "
                "stored revision is another one."
            ),
        ),
    ] = None


def set_default(command: Set) -> None:
    """Changes one default."""
    common.run_coroutine(_set_default(command))


async def _set_default(command: Set) -> None:
    stored = await _with_store(command, config_store.read)
    data = json.loads(documents.encode(stored.document))
    data["defaults"][command.key] = yaml.safe_load(command.value)
    document = documents.check(data, {}, "command line", clock.read_wall_ms())
    await _edit(command, document, stored.document.revision)


@cappa.command(
    help="Change one default.",
    epilog=(
        "Example: agatedock config set load_bound 1.4 "
        "--reason 'engines run hot'"
    ),
    invoke=set_default,
)
@dataclasses.dataclass
class Set(common.CommonOptions):
    """Arguments of `config set`."""

    key: Annotated[str, cappa.Arg(help="Name of the default.")]
    value: Annotated[str, cappa.Arg(help="New value, as YAML.")]
    reason: Annotated[
        str, cappa.Arg(long="--reason", help="Reason for the edit.")
    ]
    author: Annotated[
        str,
        cappa.Arg(
            long="--author",
            help="Author of the edit; default: the login name.",
        ),
    ] = ""


def diff(command: Diff) -> None:
    """Prints the difference between the stored configuration and a file."""
    stored = common.run_coroutine(_with_store(command, config_store.read))
    edited = read_document(command.file)
    lines = difflib.unified_diff(
        _to_yaml(stored.document).splitlines(),
        _to_yaml(edited).splitlines(),
        f"revision {stored.document.revision}",
        str(command.file),
        lineterm="",
    )
    for line in lines:
        print(line)


@cappa.command(
    help="Show the difference between the stored configuration and a file.",
    epilog="Example: agatedock config diff fleet.yaml",
    invoke=diff,
)
@dataclasses.dataclass
class Diff(common.CommonOptions):
    """Arguments of `config diff`."""

    file: Annotated[
        pathlib.Path, cappa.Arg(help="File with the new configuration.")
    ]


def show_history(command: History) -> None:
    """Prints time, author and reason of past edits."""
    history = common.run_coroutine(
        _with_store(
            command, lambda kv: config_store.read_history(kv, command.most)
        )
    )
    rows = [
        {
            "revision": document.revision,
            "at": _format_time(document.accepted_ms),
            "author": document.author,
            "reason": document.reason,
        }
        for document in history
    ]
    common.print_rows(command, rows, ["revision", "at", "author", "reason"])


@cappa.command(
    help="Show past edits, newest first.",
    epilog="Example: agatedock config history --most 5",
    invoke=show_history,
)
@dataclasses.dataclass
class History(common.CommonOptions):
    """Arguments of `config history`."""

    most: Annotated[
        int, cappa.Arg(long="--most", help="Maximum number of edits to show.")
    ] = 20


def restore(command: Restore) -> None:
    """Stores a router's configuration in a key-value service that lost it."""
    common.run_coroutine(_restore(command))


async def _restore(command: Restore) -> None:
    data = await common.fetch_from_router(command, "/config")
    router_document = documents.Document.model_validate(data)
    kv = _open_store(command)
    try:
        stored = await config_store.read(kv)
        # The new revision must be greater than any that the routers have
        # applied; otherwise they do not apply it.
        base = config_store.StoredDocument(
            stored.document.model_copy(
                update={"revision": router_document.revision}
            ),
            stored.version,
        )
        stamped = _stamp(router_document, command.author, command.reason)
        outcome = await config_store.commit(
            kv, stamped, base, router_document.revision, clock.read_wall_ms()
        )
    finally:
        await kv.close()
    await _report_outcome(command, outcome)


@cappa.command(
    help="Store a router's configuration in a key-value service that lost it.",
    epilog="Example: agatedock config restore --reason 'backup was old'",
    invoke=restore,
)
@dataclasses.dataclass
class Restore(common.CommonOptions):
    """Arguments of `config restore`."""

    reason: Annotated[
        str, cappa.Arg(long="--reason", help="Reason for the restore.")
    ]
    author: Annotated[
        str,
        cappa.Arg(
            long="--author",
            help="Author of the edit; default: the login name.",
        ),
    ] = ""


@cappa.command(
    help="Show and change the fleet configuration.",
    epilog="Example: agatedock config show --key-value http://10.0.0.2:7001",
)
@dataclasses.dataclass
class Config:
    """Arguments of `config`."""

    command: cappa.Subcommands[Show | Edit | Set | Diff | History | Restore]


def _open_store(command: common.CommonOptions) -> external.KeyValue:
    if not command.key_value:
        raise common.ExitError(
            common.EXIT_USAGE, "--key-value or AGATEDOCK_KEY_VALUE is needed"
        )
    return external.key_value_clients.get(KEY_VALUE_CLIENT)(command.key_value)


async def _with_store(command: common.CommonOptions, operation) -> Any:
    kv = _open_store(command)
    try:
        return await operation(kv)
    finally:
        await kv.close()


async def _edit(
    command: Any, document: documents.Document, base: int | None
) -> None:
    revision = await _fetch_highest_revision(command)
    kv = _open_store(command)
    try:
        stored = await config_store.read(kv)
        if base is not None and stored.document.revision != base:
            raise common.ExitError(
                common.EXIT_CONFLICT,
                str(
                    config_store.Rejection(
                        config_store.RejectionCause.CONFLICT, stored.document
                    )
                ),
            )
        stamped = _stamp(document, command.author, command.reason)
        outcome = await config_store.commit(
            kv, stamped, stored, revision, clock.read_wall_ms()
        )
    finally:
        await kv.close()
    await _report_outcome(command, outcome)


async def _fetch_highest_revision(command: common.CommonOptions) -> int:
    """Returns the highest revision of all routers that `--router` knows.

    Without `--router` it returns 0.
    """
    if not command.router:
        return 0
    dump = await common.fetch_from_router(command, "/dump")
    revisions = [member["revision"] or 0 for member in dump["members"]]
    return max([dump["configuration"]["revision"], *revisions])


def _stamp(
    document: documents.Document, author: str, reason: str
) -> documents.Document:
    return document.model_copy(
        update={"author": author or getpass.getuser(), "reason": reason}
    )


async def _report_outcome(
    command: common.CommonOptions,
    outcome: result.Result[documents.Document, config_store.Rejection],
) -> None:
    """Prints the outcome; pushes an accepted document to the routers."""
    match outcome:
        case result.Success(document):
            print(f"accepted as revision {document.revision}")
            if command.router:
                await _push_to_routers(command, document)
                await _wait_until_applied(command, document.revision)
        case result.Failure(rejection):
            raise common.ExitError(_EXIT_CODES[rejection.cause], str(rejection))


async def _push_to_routers(
    command: common.CommonOptions, document: documents.Document
) -> None:
    """Pushes an accepted document to a few routers directly.

    The key-value service may become unavailable before any router has read
    the change.
    """
    dump = await common.fetch_from_router(command, "/dump")
    live_members = [
        member for member in dump["members"] if member["status"] == "alive"
    ]
    urls = [command.router] + [
        f"http://{member['address']}"
        for member in live_members
        if member["address"]
    ]
    for router_url in urls[:PUSH_ROUTERS_MAX]:
        url = router_url.rstrip("/") + "/config"
        try:
            await common.fetch_url(url, documents.encode(document))
        except errors.Unavailable:
            continue


async def _wait_until_applied(
    command: common.CommonOptions, revision: int
) -> None:
    deadline = time.monotonic() + CONFIRM_TIMEOUT_S
    unconfirmed: list[str] = []
    while time.monotonic() < deadline:
        dump = await common.fetch_from_router(command, "/dump")
        unconfirmed = [
            member["name"]
            for member in dump["members"]
            if member["status"] == "alive"
            and (member["revision"] or 0) < revision
        ]
        if not unconfirmed:
            print("in force on all routers")
            return
        await asyncio.sleep(CONFIRM_POLL_S)
    print(f"not yet confirmed by: {', '.join(unconfirmed)}")


def _to_yaml(document: documents.Document) -> str:
    data = json.loads(documents.encode(document))
    stamp = {key: data.pop(key) for key in list(data) if key in _STAMP_KEYS}
    header = "".join(f"# {key}: {value}\n" for key, value in stamp.items())
    return header + yaml.safe_dump(data, sort_keys=False)


def _format_time(time_ms: int) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(time_ms / 1000))
