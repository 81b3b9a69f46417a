"""Adapter between the gateway and the users' platform: wire names, documents, clients, settings."""
