"""Tests of agatedock."""
