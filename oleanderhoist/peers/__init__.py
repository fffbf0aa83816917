"""Messages and links between the system's processes."""
