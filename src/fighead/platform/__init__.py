"""The adapter to the users' platform: its names, formats, calls and files.

This package translates between the platform's formats and the types of
:mod:`fighead.job`, :mod:`fighead.run` and :mod:`fighead.store`. It makes no
scheduling decisions.
"""
