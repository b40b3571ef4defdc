"""The one process beside each target: weights, orders and the request gate."""
