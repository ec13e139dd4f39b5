"""Typed calls between routers; generated from peer.proto by `make rpc`."""
