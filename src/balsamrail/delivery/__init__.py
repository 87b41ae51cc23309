"""Connections to targets and to the store, and the forwarding of requests over them."""
