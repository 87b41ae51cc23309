"""A randomized soak of real entry hosts under faults that are injected from outside.

``python -m tools.soak --seeds 1-50`` plays one run after the other. The hosts are processes of
their own; the store, the targets, the proxies between them and the callers live in this one.
"""
