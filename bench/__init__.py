"""Repeatable benchmarks and the demo."""
