"""The agent process that runs on the VM of each model engine of the fleet."""
