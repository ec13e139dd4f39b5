"""Plug-ins of agatedock; importing a module registers what it offers."""
