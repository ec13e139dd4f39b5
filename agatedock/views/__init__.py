"""One router's local view of replicas, peers and configuration, with ages."""
