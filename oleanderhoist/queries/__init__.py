"""Read-only operations of the operators' program."""
