"""Orders to model engines, sent under one lease per model."""
