"""HTTP exchange components shared by both kinds of host."""
