"""The fleet configuration: schema, validation, resolution and storage."""
