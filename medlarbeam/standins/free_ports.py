"""Addresses with free ports, for processes that have to know each other's port in advance."""

import socket
from typing import Annotated

import cappa

__all__ = ["find_free_addresses", "main"]


def find_free_addresses(count):
    """Return a list of `count` different ``127.0.0.1:port`` texts.

    Notes
    -----
    The ports are free when the function returns; another process may take one before it is used.
    """
    sockets = []
    try:
        for _ in range(count):
            held = socket.socket()
            sockets.append(held)
            held.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{held.getsockname()[1]}" for held in sockets]
    finally:
        for held in sockets:
            held.close()


def main(count: Annotated[int, cappa.Arg(help="number of addresses")] = 1):
    """Print free addresses, one a line."""
    print("\n".join(find_free_addresses(count)))


if __name__ == "__main__":
    cappa.invoke(main)
