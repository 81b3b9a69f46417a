"""Exhaustive exploration of the orders of events around rights, leases and eras of the store."""
