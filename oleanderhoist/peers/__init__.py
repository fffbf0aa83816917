"""Messages and transport between the system's processes."""
