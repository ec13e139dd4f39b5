"""The native API: chat completions, plain services, operator endpoints."""
