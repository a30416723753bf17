"""Stand-ins for engines and platform, workloads, and virtual-time experiments."""
