"""The placer program: leadership, placement and contracts."""
