"""Serving callers through another host while this host does not reach the targets."""
