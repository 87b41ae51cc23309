"""Connections to targets and to the store, and the exchange of one request on them."""
