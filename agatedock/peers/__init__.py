"""What routers tell each other."""
