"""The instances behind the platform's balancer: callers' requests."""
