"""Registers the hosting platform's file checks for `agatedock check`."""

from __future__ import annotations

from agatedock_platform import checks

__all__ = ["checks"]
