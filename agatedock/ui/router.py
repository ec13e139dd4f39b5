"""The program `agatedock-router`, which runs one router of the fleet."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import signal

import cappa

from agatedock import logs
from agatedock.native import app
from agatedock.native import settings
from agatedock.ui import daemon

_log = logging.getLogger(__name__)


@cappa.command(
    name="agatedock-router",
    help="Run one router of the fleet.",
    epilog="Example: agatedock-router --settings router-1.yaml",
)
@dataclasses.dataclass
class Run(daemon.DaemonOptions):
    """Arguments of `agatedock-router`."""


def main() -> None:
    """Runs the program."""
    daemon.run(cappa.parse(Run), _run)


async def _run(config: settings.Settings) -> None:
    router = app.RouterApp(config)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, _write_dump, router)
    await router.run(daemon.install_stop_handlers())


def _write_dump(router: app.RouterApp) -> None:
    """Logs the state of the router as one event."""
    logs.event(_log, "dump", state=router.dump())


if __name__ == "__main__":
    main()
