"""What entries and agents of a fleet share."""
