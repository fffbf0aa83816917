"""Clients of the product's own table and list services."""
