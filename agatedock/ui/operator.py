"""The program `agatedock`, with the commands for operators."""

from __future__ import annotations

import dataclasses

import cappa

from agatedock import plugins
from agatedock.ui import check
from agatedock.ui import common
from agatedock.ui import config
from agatedock.ui import inspection


@cappa.command(
    name="agatedock",
    help="Operate an agatedock fleet.",
    epilog=(
        "Example: agatedock routers --router http://10.0.0.4:7100. "
        "Exit codes: 0 success, 1 failure, 2 usage error, 3 conflict, "
        "4 no reply, 5 outcome unknown."
    ),
)
@dataclasses.dataclass
class Operate:
    """Arguments of `agatedock`."""

    command: cappa.Subcommands[
        check.Check
        | config.Config
        | inspection.Dump
        | inspection.Explain
        | inspection.Routers
        | inspection.Upstreams
    ]


def main() -> None:
    """Runs the program."""
    with common.show_user_errors():
        plugins.load()
        cappa.invoke(Operate, deps=[])


if __name__ == "__main__":
    main()
