"""Adapter between the product and its users' platform; holds no decision logic."""
