"""Small stand-ins for the outside systems, with switches for their faults."""
