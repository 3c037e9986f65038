"""The adapter to the users' platform: its names, formats, calls and files.

Nothing in this package decides; it translates at the boundary into the types
of :mod:`fighead.job`, :mod:`fighead.run` and :mod:`fighead.store`.
"""
