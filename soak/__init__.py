"""Soak test: runs the real programs while faults are injected from outside."""
