"""Commands: what changes something, for callers and for operators."""
