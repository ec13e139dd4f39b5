"""Plug-ins of agatedock; importing a module registers its implementations."""
