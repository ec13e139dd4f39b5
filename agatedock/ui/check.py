"""The command `check`, which validates files of a registered kind."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import pathlib
from typing import Annotated

import cappa

from agatedock import registry
from agatedock.native import settings
from agatedock.ui import common
from agatedock.ui import config

# Each checker raises errors.UserError with all findings in the file. Plug-ins
# register further kinds.
checkers: registry.Registry[Callable[[pathlib.Path], None]] = registry.Registry(
    "kind of file"
)


@checkers.register("settings")
def check_settings(path: pathlib.Path) -> None:
    """Checks the settings file of one process."""
    settings.load(path, [])


@checkers.register("fleet")
def check_fleet(path: pathlib.Path) -> None:
    """Checks a fleet configuration file."""
    config.read_document(path)


def check_file(command: Check) -> None:
    """Checks a file and prints the result; changes nothing."""
    checkers.get(command.kind)(command.file)
    print(f"{command.file}: no findings")


@cappa.command(
    help="Check a file: settings, fleet, platform-settings or deploy.",
    epilog="Example: agatedock check fleet fleet.yaml",
    invoke=check_file,
)
@dataclasses.dataclass
class Check(common.CommonOptions):
    """Arguments of `check`."""

    kind: Annotated[str, cappa.Arg(help="Kind of file.")]
    file: Annotated[pathlib.Path, cappa.Arg(help="File to check.")]
