"""Benchmarks; run one with ``python -m medlarbeam.bench.<name>``."""
