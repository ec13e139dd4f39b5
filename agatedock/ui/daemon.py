"""Shared by the programs that run as daemons: options, start and stop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import pathlib
import signal
from typing import Annotated
from typing import Any

import cappa
import uvloop

from agatedock import logs
from agatedock import plugins
from agatedock.native import settings
from agatedock.ui import common


@dataclasses.dataclass
class DaemonOptions:
    """Options of a daemon.

    Attributes:
      settings_file: Settings that replace the built-in defaults.
      options: Settings as `KEY.PATH=VALUE` that replace those of the file.
    """

    settings_file: Annotated[
        pathlib.Path | None,
        cappa.Arg(
            long="--settings",
            help="YAML file with settings that replace the defaults.",
        ),
    ] = None
    options: Annotated[
        list[str],
        cappa.Arg(
            long="--set",
            help="KEY.PATH=VALUE, which replaces the value of the file.",
        ),
    ] = dataclasses.field(default_factory=list)


def run(
    arguments: DaemonOptions,
    main: Callable[[settings.Settings], Coroutine[Any, Any, None]],
) -> None:
    """Loads settings and plug-ins, then runs `main` until it returns."""
    with common.show_user_errors():
        config = settings.load(arguments.settings_file, arguments.options)
        logs.configure(config.log.level, config.name)
        plugins.load()
        uvloop.run(main(config))


def install_stop_handlers() -> asyncio.Event:
    """Returns an event that SIGTERM and SIGINT set."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    return stop
