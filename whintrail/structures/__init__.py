"""Data structures made for the gateway's jobs; each is measured against a plain one in benchmarks/."""
