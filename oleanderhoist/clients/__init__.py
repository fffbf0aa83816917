"""Clients of the table and inventory services."""
