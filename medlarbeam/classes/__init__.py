"""Data classes shared by all parts: requests, catalogue, cells, messages and effects."""
