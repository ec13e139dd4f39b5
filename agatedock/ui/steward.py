"""The program agatedock-steward: gives engines their orders."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import signal
from typing import Annotated

import aiohttp
import cappa
import uvloop

from agatedock import clients
from agatedock import logs
from agatedock import plugins
from agatedock import settings
from agatedock import steward
from agatedock.ui import common


@cappa.command(
    name="agatedock-steward",
    help="Give engines their orders, under a lease for each model.",
    epilog="Example: agatedock-steward --settings router-1.yaml",
)
@dataclasses.dataclass
class Run:
    """Arguments of agatedock-steward."""

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
    kv = clients.open_key_value(config.platform)
    vms = clients.open_vm_list(config.platform)
    async with aiohttp.ClientSession() as client:
        running = asyncio.create_task(
            steward.Steward(config, kv, vms, client).run()
        )
        print('ready {"port": 0}', flush=True)
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        await stop.wait()
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
    await kv.close()
    await vms.close()


if __name__ == "__main__":
    main()
