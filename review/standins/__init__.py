"""Stand-ins for servers, clients and the operator, for the scripts of the review."""
