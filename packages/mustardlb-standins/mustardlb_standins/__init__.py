"""Simulators of the platform and the targets of mustardlb."""
