"""A fault soak: real programs on loopback, faults from outside, checks of promises.

    python -m soak --seeds 1-10

Each seed starts a store, instances and entries as processes, with a proxy on each link
to the store and to an instance. Clients submit and cancel jobs while pairs of faults
overlap. The checks use only what clients and instances saw.
"""
