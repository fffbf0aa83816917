"""Repeatable measurements."""
