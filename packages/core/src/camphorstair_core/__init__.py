"""The decision logic of the load balancer, free of I/O."""
