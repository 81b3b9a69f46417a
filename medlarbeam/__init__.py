"""Serving layer that answers callers from one base model through many LoRA adapters."""

__all__ = ["__version__"]

__version__ = "0.1.0"
