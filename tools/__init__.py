"""Launchers, test tools and build scripts."""
