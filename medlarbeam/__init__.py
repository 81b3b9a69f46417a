"""Serving layer for one base model with many LoRA adapters."""

__all__ = ["__version__"]

__version__ = "0.1.0"
