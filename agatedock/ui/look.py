"""Commands that show the state of the fleet."""

from __future__ import annotations

import dataclasses
import datetime
import json
import pathlib
from typing import Annotated

import cappa

from agatedock import evidence
from agatedock.ui import common


def show_dump(command: Dump) -> None:
    """Prints the state of one router."""
    print(json.dumps(common.run(common.fetch(command, "/dump")), indent=2))


@cappa.command(
    help="Show the state of one router.",
    epilog="Example: agatedock dump --router http://127.0.0.1:7100",
    invoke=show_dump,
)
@dataclasses.dataclass
class Dump(common.Target):
    """Arguments of `dump`."""


def explain_request(command: Explain) -> None:
    """Prints the decisions that the fleet's routers made about a request."""
    if command.logs:
        _explain_from_logs(command)
        return
    rows = common.run(_collect_steps(command))
    if not rows:
        raise common.Exit(
            common.EXIT_FAILED, f"no router remembers {command.request_id!r}"
        )
    common.print_rows(command, rows, ["at", "router", "what", "where", "why"])


def _explain_from_logs(command: Explain) -> None:
    """Prints what collected log files say of a request."""
    lines = evidence.explain(evidence.read(command.logs), command.request_id)
    own = [
        line for line in lines if line.fields.get("id") == command.request_id
    ]
    if not own:
        raise common.Exit(
            common.EXIT_FAILED, f"no line about {command.request_id!r}"
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
    for line in own:
        print(f"{line.router}: {evidence.diagnose(line)}")


async def _collect_steps(command: Explain) -> list[dict]:
    dump = await common.fetch(command, "/dump")
    rows = []
    for member in dump["members"]:
        if member["status"] in ("dead", "suspect"):
            continue
        url = f"http://{member['host']}:{member['peer_port']}"
        steps = await common.fetch_url(f"{url}/explain/{command.request_id}")
        rows += [{"router": member["name"], **step} for step in steps]
    for row in rows:
        moment = datetime.datetime.fromtimestamp(row["at_ms"] / 1000)
        row["at"] = moment.isoformat(timespec="milliseconds")
    return sorted(rows, key=lambda row: row["at_ms"])


@cappa.command(
    help="Show why a request went where it went.",
    epilog="Example: agatedock explain draw-17 --router http://127.0.0.1:7100",
    invoke=explain_request,
)
@dataclasses.dataclass
class Explain(common.Target):
    """Arguments of `explain`."""

    request_id: Annotated[str, cappa.Arg(help="Id of the request.")]
    logs: Annotated[
        list[pathlib.Path],
        cappa.Arg(
            long="--log",
            help="Collected log file; may be given more than once.",
        ),
    ] = dataclasses.field(default_factory=list)


def list_routers(command: Routers) -> None:
    """Prints the routers as one of them sees the fleet."""
    dump = common.run(common.fetch(command, "/dump"))
    columns = ["name", "status", "failure_domain", "revision", "state_age_ms"]
    common.print_rows(command, dump["members"], columns)


@cappa.command(
    help="List the routers with their condition.",
    epilog="Example: agatedock routers --router http://127.0.0.1:7100",
    invoke=list_routers,
)
@dataclasses.dataclass
class Routers(common.Target):
    """Arguments of `routers`."""


def list_upstreams(command: Upstreams) -> None:
    """Prints the upstreams as one router sees them."""
    dump = common.run(common.fetch(command, "/dump"))
    columns = ["name", "service", "failure_domain", "leaving", "home"]
    common.print_rows(command, dump["upstreams"], columns)


@cappa.command(
    help="List the upstreams with their homes.",
    epilog="Example: agatedock upstreams --router http://127.0.0.1:7100",
    invoke=list_upstreams,
)
@dataclasses.dataclass
class Upstreams(common.Target):
    """Arguments of `upstreams`."""
