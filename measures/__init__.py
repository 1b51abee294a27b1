"""Measures of the system; ``python -m measures NAME --json``."""
