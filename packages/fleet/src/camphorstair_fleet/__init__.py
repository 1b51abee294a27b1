"""Code shared by the entries and agents of a fleet."""
