"""Parts that every process of the product has."""
