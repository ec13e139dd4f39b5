"""Pure decisions: where, whether and how often a request is sent."""
