"""Fault soak: real routers, faults from outside, promises checked."""
