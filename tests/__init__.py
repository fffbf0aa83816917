"""Tests of oleanderhoist."""
