"""Policies and algorithms, with naive policies that serve as a baseline in experiments."""
