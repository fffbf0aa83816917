"""The entry program: admission, dispatch and lease renewal."""
