"""Queries: what only reads, for callers and for operators."""
