"""Stand-ins of the second review's scripts; they need no library."""
