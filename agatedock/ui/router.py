"""The program agatedock-router: one router of the fleet."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import logging
import pathlib
import signal
from typing import Annotated

import cappa
import uvloop

from agatedock import compose
from agatedock import logs
from agatedock import plugins
from agatedock import settings
from agatedock.ui import common

_log = logging.getLogger(__name__)


@cappa.command(
    name="agatedock-router",
    help="Run one router of the fleet.",
    epilog="Example: agatedock-router --settings router-1.yaml",
)
@dataclasses.dataclass
class Run:
    """Arguments of agatedock-router."""

    settings_file: Annotated[
        pathlib.Path | None,
        cappa.Arg(long="--settings", help="YAML file over the defaults."),
    ] = None
    options: Annotated[
        list[str],
        cappa.Arg(long="--set", help="KEY.PATH=VALUE over the file."),
    ] = dataclasses.field(default_factory=list)


def main() -> None:
    """Runs the program."""
    arguments = cappa.parse(Run)
    with common.show_user_errors():
        config = settings.load(arguments.settings_file, arguments.options)
        logs.configure(config.log.level, config.name)
        plugins.load()
        uvloop.run(_run(config))


async def _run(config: settings.Settings) -> None:
    router = compose.Router(config)
    await router.start()
    ports = json.dumps(dataclasses.asdict(router.ports))
    print(f"ready {ports}", flush=True)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGUSR1, _write_dump, router)
    await stop.wait()
    await router.stop()


def _write_dump(router: compose.Router) -> None:
    """Logs the state of the process as one event."""
    logs.event(_log, "dump", state=json.dumps(router.dump()))


if __name__ == "__main__":
    main()
