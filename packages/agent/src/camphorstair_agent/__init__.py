"""The agent that stands before each endpoint."""
