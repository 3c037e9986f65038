"""A small deployment of the project's own programs and of stand-in workers."""
