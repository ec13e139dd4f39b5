"""The commands `dump`, `explain`, `routers` and `upstreams`."""

from __future__ import annotations

import dataclasses
import datetime
import json
import pathlib
from typing import Annotated
from typing import Any
import urllib.parse

import cappa

from agatedock import diagnosis
from agatedock import errors
from agatedock.ui import common

# Exit code of an explanation if the router does not reply.
EXIT_UNREACHABLE = 3


def show_dump(command: Dump) -> None:
    """Prints the state of one router."""
    print(
        json.dumps(
            common.run_coroutine(common.fetch_from_router(command, "/dump")),
            indent=2,
        )
    )


@cappa.command(
    help="Show the state of one router.",
    epilog="Example: agatedock dump --router http://127.0.0.1:7100",
    invoke=show_dump,
)
@dataclasses.dataclass
class Dump(common.CommonOptions):
    """Arguments of `dump`."""


def explain_request(command: Explain) -> None:
    """Prints how the routers handled a request, and why.

    With a route, prints where a request on it would go now.
    """
    if command.route:
        explain_placement(command)
        return
    if not command.request_id:
        raise common.ExitError(
            common.EXIT_USAGE, "the ID of a request or --route is needed"
        )
    if command.logs:
        lines = diagnosis.find_related_lines(
            diagnosis.read_lines(command.logs), command.request_id
        )
    else:
        lines = common.run_coroutine(_collect_lines(command))
    request_lines = diagnosis.find_request_lines(lines, command.request_id)
    if not request_lines:
        raise common.ExitError(
            common.EXIT_FAILED, f"no record of request {command.request_id!r}"
        )
    rows = [
        {
            "at": line.at.isoformat(timespec="milliseconds"),
            "router": line.router,
            "event": line.event,
            "details": " ".join(
                f"{key}={value}"
                for key, value in line.fields.items()
                if value and key not in ("at", "level", "router", "event")
            ),
        }
        for line in lines
    ]
    common.print_rows(command, rows, ["at", "router", "event", "details"])
    for line in request_lines:
        print(f"{line.router}: {diagnosis.explain_outcome(line)}")


def explain_placement(command: Explain) -> None:
    """Prints where a request would go now, and why, without sending it."""
    if not command.router:
        raise common.ExitError(
            common.EXIT_USAGE, "--router or AGATEDOCK_ROUTER is needed"
        )
    query = urllib.parse.urlencode(
        {
            "route": command.route,
            "account": command.account,
            "prefix": ",".join(command.prefix),
            "domain": command.from_domain,
        }
    )
    url = f"{command.router.rstrip('/')}/placement?{query}"
    try:
        found = common.run_coroutine(common.fetch_url(url))
    except common.RejectedError as error:
        raise common.ExitError(common.EXIT_USAGE, str(error)) from None
    except errors.Unavailable as error:
        raise common.ExitError(EXIT_UNREACHABLE, f"no reply: {error}") from None
    if command.as_json:
        print(json.dumps(found, indent=2))
        return
    for key, value in found.items():
        if key != "candidates":
            print(f"{key}: {value}")
    columns = [
        "name",
        "failure_domain",
        "verdict",
        "running",
        "max_running",
        "slowness",
        "crosses",
    ]
    common.print_rows(command, found["candidates"], columns)


async def _collect_lines(command: Explain) -> list[diagnosis.LogLine]:
    """Returns the records of a request from all live routers, by time."""
    dump = await common.fetch_from_router(command, "/dump")
    router_urls = {dump["process"]["name"]: command.router.rstrip("/")}
    for member in dump["members"]:
        if member["status"] == "alive" and member["address"]:
            router_urls[member["name"]] = f"http://{member['address']}"
    lines = []
    for router, url in router_urls.items():
        records = await common.fetch_url(f"{url}/explain/{command.request_id}")
        lines += [_make_log_line(router, record) for record in records]
    return sorted(lines, key=lambda line: line.at)


def _make_log_line(router: str, record: dict[str, Any]) -> diagnosis.LogLine:
    at = datetime.datetime.fromtimestamp(record["at_ms"] / 1000)
    fields = {
        key: str(value) if value not in ("", 0) else ""
        for key, value in record["fields"].items()
    }
    return diagnosis.LogLine(at, router, "request", fields)


@cappa.command(
    help="Explain the placement and outcome of a request.",
    epilog="Example: agatedock explain draw-17 --router http://127.0.0.1:7100",
    invoke=explain_request,
)
@dataclasses.dataclass
class Explain(common.CommonOptions):
    """Arguments of `explain`."""

    request_id: Annotated[str, cappa.Arg(help="ID of the request.")] = ""
    route: Annotated[
        str,
        cappa.Arg(
            long="--route",
            help="Explain where a request on this route would go now.",
        ),
    ] = ""
    account: Annotated[
        str, cappa.Arg(long="--account", help="Client account.")
    ] = ""
    prefix: Annotated[
        list[str],
        cappa.Arg(
            long="--prefix",
            help="Prompt part ID:TOKENS; may be given more than once.",
        ),
    ] = dataclasses.field(default_factory=list)
    from_domain: Annotated[
        str,
        cappa.Arg(
            long="--from-domain",
            help="Failure domain that the request comes from.",
        ),
    ] = ""
    logs: Annotated[
        list[pathlib.Path],
        cappa.Arg(
            long="--log",
            help=(
                "Collected log file, read instead of querying the routers; "
                "may be given more than once."
            ),
        ),
    ] = dataclasses.field(default_factory=list)


def list_routers(command: Routers) -> None:
    """Prints the routers in the local view of one router."""
    dump = common.run_coroutine(common.fetch_from_router(command, "/dump"))
    columns = ["name", "status", "failure_domain", "revision", "news_age_ms"]
    common.print_rows(command, dump["members"], columns)


@cappa.command(
    help="List the routers with their status.",
    epilog="Example: agatedock routers --router http://127.0.0.1:7100",
    invoke=list_routers,
)
@dataclasses.dataclass
class Routers(common.CommonOptions):
    """Arguments of `routers`."""


def list_upstreams(command: Upstreams) -> None:
    """Prints the upstreams in the local view of one router."""
    dump = common.run_coroutine(common.fetch_from_router(command, "/dump"))
    columns = ["name", "service", "failure_domain", "state", "running"]
    common.print_rows(command, dump["upstreams"], columns)


@cappa.command(
    help="List the upstreams with their state and load.",
    epilog="Example: agatedock upstreams --router http://127.0.0.1:7100",
    invoke=list_upstreams,
)
@dataclasses.dataclass
class Upstreams(common.CommonOptions):
    """Arguments of `upstreams`."""
