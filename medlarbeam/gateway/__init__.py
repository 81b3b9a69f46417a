"""The gateway: decisions of an entry node that sends requests straight to the backend servers."""
