"""Stand-ins for what surrounds the system; the product imports none."""
