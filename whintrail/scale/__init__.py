"""Capacity model: costs measured by fleet size (cores, gateways, simulation), their fits and budgets."""
