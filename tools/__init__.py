"""Launchers and build helpers."""
