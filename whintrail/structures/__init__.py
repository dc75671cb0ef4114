"""Data structures for the gateway's hot paths; benchmarks/ compares each with a plain alternative."""
