"""Decisions without I/O: placement, admission, retries and polling."""
