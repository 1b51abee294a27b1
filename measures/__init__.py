"""Benchmarks of the system; run ``python -m measures NAME --json``."""
