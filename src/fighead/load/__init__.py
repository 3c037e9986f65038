"""Bounded load, its history, and the check of the promises on that history."""
