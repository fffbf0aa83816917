"""Soak test: routers under injected faults, with invariants checked."""
