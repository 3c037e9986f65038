"""Queries: read-only operations of callers and operators."""
