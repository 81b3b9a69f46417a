"""Adapter between the gateway and the users' platform: formats, servers, clients and settings."""
