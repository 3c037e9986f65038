"""Fronts: HTTP interfaces to the commands and queries."""
