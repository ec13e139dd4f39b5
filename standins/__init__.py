"""Stand-ins for external systems, with switches that inject faults."""
