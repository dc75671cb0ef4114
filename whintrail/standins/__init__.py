"""Test doubles, simulators and auditors for the gateway, written from its protocols; loopback only.

- scripted: fake engines, bulletin and clients on threads, with explicitly chosen behaviour.
- engine_fleet, load_generator: many fake engines with injected faults, and clients at a set rate, in asyncio.
- gateway_fleet, fleet_simulation: gateways as processes behind a relay, and fleet nodes in simulated time.
- once_audit, subset_audit, rule_audit, restart_audit: auditors that check promises from outside the gateways.
- consensus_model, lease_model: explicit-state model checkers.
- refusals: a system-call filter that imitates the limits of a deployment.
"""
