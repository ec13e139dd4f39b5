"""The program `agatedock-steward`, which sends orders to engines."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import logging
import signal

import cappa

from agatedock import connections
from agatedock import logs
from agatedock.native import app
from agatedock.native import settings
from agatedock.orders import steward
from agatedock.ui import daemon

_log = logging.getLogger(__name__)


@cappa.command(
    name="agatedock-steward",
    help="Send orders to engines under one lease per model.",
    epilog="Example: agatedock-steward --settings router-1.yaml",
)
@dataclasses.dataclass
class Run(daemon.DaemonOptions):
    """Arguments of `agatedock-steward`."""


def main() -> None:
    """Runs the program."""
    daemon.run(cappa.parse(Run), _run)


async def _run(config: settings.Settings) -> None:
    kv = app.open_key_value(config.platform)
    vms = app.open_vm_list(config.platform)
    async with connections.make_session() as client:
        controller = steward.Steward(config, kv, vms, client)
        task = asyncio.create_task(controller.run())
        logs.event(_log, "started")
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, _write_dump, controller)
        await daemon.install_stop_handlers().wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        logs.event(_log, "stopped")
    await kv.close()
    await vms.close()


def _write_dump(controller: steward.Steward) -> None:
    """Logs the state of the steward as one event."""
    logs.event(_log, "dump", state=json.dumps(controller.dump()))


if __name__ == "__main__":
    main()
