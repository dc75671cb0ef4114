"""Adapter that connects the routing policy to the simulator's protocol."""
