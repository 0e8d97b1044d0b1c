"""Soak test of the platform's programs under randomized faults, on one machine."""
