"""Host discovery for callers and replication of the store's objects between hosts."""
