"""Adapter to the users' platform; no other package depends on the platform's names.

Each module converts between one interface of the platform and the types of this package.
"""
