"""A randomized soak test: router processes under overlapping faults, with checks of guarantees.

Each router is a process of its own and reaches the store through a fault proxy. The package
``faults`` holds the faults. The checks are in ``checks``, ``weights_checks``, ``fatal_requests``
and ``fatal_parts``, and in ``notice_checks`` and ``limit_checks`` of ``standins``.
"""
