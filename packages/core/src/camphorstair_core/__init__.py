"""Decisions of the load balancer, without I/O."""
