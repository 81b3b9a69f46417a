"""State charts in YAML files, with their loader and interpreter."""
