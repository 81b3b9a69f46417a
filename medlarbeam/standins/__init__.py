"""Stand-ins for the systems outside of medlarbeam, used by the tests and by ``bin/demo``."""
