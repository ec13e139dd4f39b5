"""Command-line programs of agatedock."""
