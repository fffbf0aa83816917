"""Policies: pure functions and state machines without I/O."""
