"""Stand-ins, written here from the protocols, for what the gateway speaks to; loopback only.

scripted: engines, a bulletin and clients on threads, each told exactly what to do. fleet, load: many engines
with injected faults, and clients at a stated rate, on one loop.
"""
