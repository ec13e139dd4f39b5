"""The deploy requirements cover all imports of the program."""

from __future__ import annotations

import importlib.metadata
import json
import pathlib
import re
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).parent.parent
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"

# Program that prints the distributions of all modules that the router imports.
LIST_IMPORTS = """
import importlib.metadata, json, sys
import agatedock_platform.app
known = importlib.metadata.packages_distributions()
tops = {name.partition(".")[0] for name in sys.modules}
print(json.dumps(sorted({d for t in tops for d in known.get(t, [])})))
"""


def normalize(name: str) -> str:
    """Returns a distribution's name in the normalized form of PEP 503."""
    return re.sub(r"[-_.]+", "-", name).lower()


def collect_dependencies(names: set[str]) -> set[str]:
    """Returns distributions with all their transitive dependencies."""
    found: set[str] = set()
    pending = set(names)
    while pending:
        name = pending.pop()
        found.add(name)
        try:
            requirements = importlib.metadata.requires(name) or []
        except importlib.metadata.PackageNotFoundError:
            # Not installed: a dependency on other systems only.
            continue
        for line in requirements:
            if "extra ==" not in line:
                pending.add(normalize(re.split(r"[^\w.-]", line)[0]))
        pending -= found
    return found


class RequirementsTest(unittest.TestCase):
    """Requirements of the router on the hosting platform."""

    def test_every_import_is_installed(self):
        process = subprocess.run(
            [sys.executable, "-c", LIST_IMPORTS],
            capture_output=True,
            check=True,
            cwd=ROOT,
        )
        imported = {normalize(name) for name in json.loads(process.stdout)}
        listed = {
            normalize(re.split(r"[=<>\[ ]", line)[0])
            for line in REQUIREMENTS.read_text().splitlines()
            if line and not line.startswith("#")
        }
        not_listed = {"agatedock", "setuptools"}
        self.assertEqual(
            imported - collect_dependencies(listed) - not_listed, set()
        )
