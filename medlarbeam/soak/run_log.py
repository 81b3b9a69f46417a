"""Folder and log file of one run of a soak."""

import logging
from pathlib import Path
from tempfile import mkdtemp

__all__ = ["start_run_log"]


def start_run_log(name, seed):
    """Send the log of this process to a file in a new folder, and return the folder."""
    folder = Path(mkdtemp(prefix=f"medlarbeam-{name}-{seed}-"))
    logging.basicConfig(
        level=logging.INFO,
        filename=folder / "soak.log",
        format="%(created).3f %(message)s",
        force=True,
    )
    return folder
