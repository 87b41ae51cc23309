"""The hosts of the fleet as callers and decisions see them."""
