"""Programs of agatedock: thin commands that call the kernel."""
