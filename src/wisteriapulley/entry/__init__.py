"""Entry daemon: accepts callers' requests behind the platform's load balancer."""
