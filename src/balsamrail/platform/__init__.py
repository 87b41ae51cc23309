"""The adapter to the users' platform: the only place that knows its names.

Each module translates one thing between the platform's words and the product's types.
"""
