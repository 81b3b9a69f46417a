"""Data classes shared by all packages: requests, catalog, cells, messages and effects."""
