"""Communication between routers."""
