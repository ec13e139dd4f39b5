"""Loads the plug-ins, which register their implementations on import."""

from __future__ import annotations

import importlib
import pkgutil

import agatedockplug


def load() -> None:
    """Imports every module of the plug-in package."""
    for module in pkgutil.iter_modules(agatedockplug.__path__):
        importlib.import_module(f"agatedockplug.{module.name}")
