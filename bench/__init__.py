"""Benchmarks of agatedock against baselines; not part of the product."""
