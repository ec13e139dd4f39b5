"""Types of the product's own words: routes, replicas, requests."""
