"""A randomized soak test of real entry hosts under external fault injection.

``python -m tools.soak --seeds 1-50`` executes one run after the other. Each host is a separate
process; the store, the targets, the proxies and the callers run in the process of the test.
"""
