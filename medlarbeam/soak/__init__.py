"""Randomized soak of the gateway: gateway processes, injected faults and a history checker."""
