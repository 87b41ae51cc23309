"""Decisions on where a request goes, when it is refused and when it is sent again.

No module here uses the network or reads a clock: the time is an argument, in seconds of the
event loop.
"""
