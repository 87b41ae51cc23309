"""Parts of an HTTP exchange that both kinds of host use."""
