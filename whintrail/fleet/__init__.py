"""Coordination among the gateways of a fleet, without I/O: the caller passes in datagrams and the time."""
