"""The entry node and the operators' command line."""
