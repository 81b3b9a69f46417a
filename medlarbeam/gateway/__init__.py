"""The gateway: decisions of an entry node that sends requests directly to backend servers."""
