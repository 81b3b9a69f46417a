"""Command line tool for operators."""
