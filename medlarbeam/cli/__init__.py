"""Command line tool of the operators."""
