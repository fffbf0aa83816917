"""The entry program: callers, dispatch and lease renewal."""
