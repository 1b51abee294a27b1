"""Runs the real programs under faults that come from outside them."""
