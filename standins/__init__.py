"""Minimal substitutes for the systems that oleanderhoist talks to."""
