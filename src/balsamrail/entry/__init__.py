"""The entry host process of the platform deployment.

Nothing is re-exported here: ``python -m balsamrail.entry`` imports this package before it runs
``__main__``, which has to ignore SIGHUP before the slow imports.
"""
