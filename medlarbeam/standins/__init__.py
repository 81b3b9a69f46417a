"""Stand-ins for the outside systems: engines, plain services, key-value, weights and VM list."""
