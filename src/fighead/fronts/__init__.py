"""Fronts: HTTP encodings over the same commands and queries."""
