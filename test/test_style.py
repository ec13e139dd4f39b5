"""Style rules that the linter cannot check."""

from __future__ import annotations

import ast
import pathlib
import unittest

ROOT = pathlib.Path(__file__).parent.parent
FOLDERS = {
    "agatedock": "agatedock",
    "agatedock_platform": "platform",
    "agatedockplug": "agatedockplug",
    "bench": "bench",
    "standins": "standins",
    "test": "test",
}
# As in the Google style guide, names may be imported only from these modules.
EXEMPT = {"__future__", "typing", "collections.abc"}
FUNCTION_MAX_LINES = 60


def list_modules() -> list[pathlib.Path]:
    """Returns the paths of all modules of the project."""
    return [
        path
        for folder in FOLDERS.values()
        for path in sorted((ROOT / folder).rglob("*.py"))
    ]


def is_module(origin: str, name: str) -> bool:
    """Returns whether a name imported from a project package is a module."""
    package, _, subpath = origin.partition(".")
    base = ROOT / FOLDERS[package] / subpath.replace(".", "/")
    return (base / f"{name}.py").exists() or (base / name).is_dir()


class StyleTest(unittest.TestCase):
    """Rules that hold for all modules of the project."""

    def test_modules_are_imported_not_names(self):
        violations = []
        for path in list_modules():
            for node in ast.walk(ast.parse(path.read_text())):
                if not isinstance(node, ast.ImportFrom):
                    continue
                origin = node.module or ""
                is_local = origin.split(".")[0] in FOLDERS
                for alias in node.names:
                    is_name_import = is_local and not is_module(
                        origin, alias.name
                    )
                    is_lower_case = alias.name == alias.name.lower()
                    if origin not in EXEMPT and (
                        is_name_import or not is_lower_case
                    ):
                        violations.append(f"{path}:{node.lineno} {alias.name}")
        self.assertEqual(violations, [])

    def test_functions_are_short(self):
        violations = []
        for path in list_modules():
            for node in ast.walk(ast.parse(path.read_text())):
                if not isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
                    continue
                lines = (node.end_lineno or 0) - node.lineno
                if lines > FUNCTION_MAX_LINES:
                    violations.append(f"{path}:{node.lineno} {lines} lines")
        self.assertEqual(violations, [])
