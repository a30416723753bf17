"""Emulated engines and platform, workloads, a load tool and virtual-time experiments."""
