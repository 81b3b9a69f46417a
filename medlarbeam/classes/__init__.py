"""Data classes shared by all packages: requests, catalogue, cells, messages and effects."""
