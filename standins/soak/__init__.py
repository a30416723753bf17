"""A randomized soak: real router processes, faults from outside, promises checked by callers.

Routers run as processes of their own, each behind a proxy on its way to the store. Faults come from
outside, overlap and come in series: signals, the proxies, crashes of replicas, entries of replicas
that have ended, a store that refuses. ``faults`` says which, ``promises`` and ``weights_promises``
what is checked while it runs and at the end.
"""
