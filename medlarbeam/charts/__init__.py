"""State charts in YAML files, their loader and their interpreter."""
