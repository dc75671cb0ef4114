"""Deterministic subsetting: each gateway keeps a part of the engines (`docs/subset.md`).

Pure: tables by hash and deltas of a list; nothing here decides on a query.
"""
