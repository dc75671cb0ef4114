"""Deterministic subsetting: each gateway keeps a subset of the engines (`docs/subset.md`).

Pure: computes the subset from hashes and from deltas of the engine list; no routing decisions are made here.
"""
