"""Command-line entry points: options and settings only."""
