"""The router: one process on each VM that serves, places and leads."""
