"""Benchmarks; each is run by ``python -m medlarbeam.bench.<name>``."""
