"""Settings versions: settings that the gateways activate in two steps under leases. Pure."""
