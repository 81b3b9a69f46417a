"""Randomized soak of the gateway: real processes, faults from outside, an independent checker."""
