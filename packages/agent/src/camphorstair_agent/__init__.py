"""The agent: a proxy in front of one endpoint."""
