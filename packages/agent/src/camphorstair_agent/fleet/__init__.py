"""The process beside each model engine of the fleet."""
