"""Tests of the node; a package, so that schedules can be run from the command line."""
