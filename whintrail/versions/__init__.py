"""Settings with versions on which the gateways agree. Pure."""
