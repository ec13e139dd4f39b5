"""Kernel of agatedock: routing, limits, membership and configuration."""
